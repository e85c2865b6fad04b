package peer

import "time"

// FullPace is to how many others an entry sends its heartbeats in one period, those
// with which it shares work aside; more get them in turn. At four periods a second
// that is 256 sent and as many taken in. Either costs 45 µs at the most with its
// wake-up and system call (100 entries use 25 ms a second more than 30 do, for 560
// more of them), so that is an eighth of a VM of 0.192 of a core.
const FullPace = 64

// Stretch is by how much the periods of heartbeats, and all times that count missing
// ones, grow in a fleet where an entry knows so many others. Each pair exchanges
// heartbeats, so at a fixed pace an entry's work grows with the fleet: at 300 entries
// and 250 ms it left no processor for callers, whose links then broke for silence
// and were dialled again, which left even less.
func Stretch(others int) float64 {
	return max(1, float64(others)/FullPace)
}

// Stretched is a time of a full-paced fleet in one where an entry knows so many
// others.
func Stretched(d time.Duration, others int) time.Duration {
	return time.Duration(float64(d) * Stretch(others))
}
