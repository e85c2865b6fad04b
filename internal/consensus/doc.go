// Package consensus implements the protocol by which the voters agree on the
// accepted configuration. It is a pure step function: its inputs are messages,
// requests and completed writes, its outputs are messages, writes and answers.
// It has no clock, network, disk or goroutine.
//
// A configuration is a whole file, so the voters agree on a single
// compare-and-set register instead of a log: the state does not grow with the
// number of changes, and a voter that was offline catches up with one message.
//
// Each version of the register is decided by its own instance of Paxos, among
// the voters named in the previous version. A voter stores the latest chosen
// value and, for the next version, its promise and the proposal it accepted.
// Membership changes therefore need no second protocol: they are ordinary
// values, and the voters of each version are known exactly.
//
// The load is light (some thousands of changes a day), so there is no leader:
// any voter may propose, and a change takes two message rounds with one synced
// write each. Without agreement, two operators could both be told that their
// file is in effect, and a partitioned voter could bring back an old one.
package consensus
