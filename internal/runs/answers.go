package runs

import "time"

// Load pattern: a share of all start requests gets lost in transit or is carried out seconds
// later, while an entry with a small share of a processor may itself be the one that is late. A
// task can't go to another target before the outcome of its start is known. With maxAnswerWait
// (300 ms) as the timeout, tasks of 60 and 200 ms whose start was lost once always missed their
// objective of 156 and 380 ms. A fixed short timeout fails the other way: an entry that is short of
// processor time would doubt starts that were answered, and each doubt costs another poll.

const (
	// minStartWait is the shortest wait for the answer to a start: a round trip of 3 ms plus the
	// 100 ms for which a small VM may have used up its processor share.
	minStartWait = 120 * time.Millisecond
	// deviationFactor is the number of mean deviations by which an answer may be later than the
	// mean. meanWeight and deviationWeight are the weights of one answer in the two means. The
	// values are those that TCP uses for its retransmission timeout (RFC 6298).
	deviationFactor = 4
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
)

// answerTimes tracks how long a target takes to answer start requests.
type answerTimes struct{ mean, deviation time.Duration }

func (a *answerTimes) record(took time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = took, took/2
		return
	}
	diff := took - a.mean
	a.deviation += time.Duration(deviationWeight * float64(diff.Abs()-a.deviation))
	a.mean += time.Duration(meanWeight * float64(diff))
}

// timeout returns how long to wait for the next answer before the start counts as in doubt.
func (a *answerTimes) timeout() time.Duration {
	return min(maxAnswerWait, max(minStartWait, a.mean+deviationFactor*a.deviation))
}

// resendDelay returns how long to wait for the next answer before the request is sent again. It
// grows with the answer times, as the timeout does: with a smaller bound, each request to a target
// that has become slow would be sent twice.
func (a *answerTimes) resendDelay() time.Duration {
	return min(maxAnswerWait, max(minResendDelay, a.mean+deviationFactor*a.deviation))
}
