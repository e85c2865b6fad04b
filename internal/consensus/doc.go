// Package consensus is the voters' agreement on the accepted configuration, as
// a pure step function: messages, requests and completed writes go in; messages,
// writes and answers come out. It has no clock, network, disk or goroutine.
//
// A configuration is a whole file, so what is agreed on is one register that
// takes a new value by compare-and-set, and not a log: the state does not grow
// with the number of changes, and a voter that was away needs one message.
//
// Each version of the register is decided on its own by Paxos, among the voters
// that the version before it names. A voter keeps the latest chosen value and,
// for the version after it, its promise and the proposal that it accepted. So
// membership changes need no second protocol: they are values like any other,
// and the voters of each version are known exactly.
//
// The load is light (some thousands of changes a day), so there is no leader:
// any voter proposes, and a change takes two rounds of messages and one synced
// write in each. Without agreement two operators could both be told that their
// file is in force, and a voter that was cut off could bring back an old one.
package consensus
