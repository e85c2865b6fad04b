// The platform meets a process at the C library, so the binary is linked to it.

package main

import "C"
