// Package vmmemory reads how much memory the machine has.
package vmmemory
