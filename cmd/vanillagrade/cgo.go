// The platform interacts with a process through the C library, so the binary links
// against it.

package main

import "C"
