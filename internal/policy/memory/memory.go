// Package memory shares out the memory of a process.
//
// The load it answers is callers whose work takes more memory than the VM has: many large
// jobs at once, or bodies that decode into far more than they are long. A process that
// goes over the memory of its VM is killed, and every job that it has accepted fails. With
// shares, the callers beyond them are refused and the accepted jobs go on.
package memory

// Shares is how the memory of a process is used, in bytes.
type Shares struct {
	// Submissions bounds the bodies being read and the submissions in progress.
	Submissions int64
	// Heap is the soft limit of the garbage collector. Close to it, memory is freed
	// early instead of when the heap has doubled.
	Heap int64
}

// defaultTotal is the memory that is assumed if it is unknown: 1 GiB.
const defaultTotal = 1 << 30

// Share divides total bytes; zero means that the memory is unknown. A quarter goes to
// submissions. Decoding and answering them takes up to as much again in garbage, and the
// rest holds the process itself, its links and the batches of other entries. The quarter
// above the heap's limit is for the program, stacks and buffers of the kernel, which count
// towards the memory of the VM as well.
func Share(total int64) Shares {
	if total <= 0 {
		total = defaultTotal
	}
	return Shares{Submissions: total / 4, Heap: total / 4 * 3}
}
