package peer

import (
	"maps"
	"slices"
	"strconv"
)

var kindNames = map[Kind]string{
	Heartbeat:        "heartbeat",
	TargetForward:    "target_forward",
	TargetWithdraw:   "target_withdraw",
	TargetsHeld:      "targets_held",
	TargetsRecall:    "targets_recall",
	RegistrarClaim:   "registrar_claim",
	RegistrarSettle:  "registrar_settle",
	RegistrarSync:    "registrar_sync",
	RegistrarYield:   "registrar_yield",
	SubmissionJoin:   "submission_join",
	SubmissionPoll:   "submission_look",
	SubmissionCancel: "submission_cancel",
	BatchOffer:       "batch_offer",
	BatchCancel:      "batch_cancel",
	BatchFetch:       "batch_fetch",
	SubmissionKeep:   "submission_keep",
	TaskCrashed:      "task_crashed",
	ProofRequest:     "proof_request",
	ConsensusMessage: "consensus_message",
	ConfigPull:       "config_pull",
	ConfigApply:      "config_apply",
	TimelineRead:     "timeline_read",
	MemberNews:       "member_news",
	MemberUpdates:    "member_updates",
	MemberAsk:        "member_ask",
}

// Kinds returns all message kinds, ordered by number.
func Kinds() []Kind { return slices.Sorted(maps.Keys(kindNames)) }

// String returns the kind's name in metrics.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "kind_" + strconv.Itoa(int(k))
}

// CarriesWork reports whether messages of the kind carry tasks, results or a
// caller's answer. All other kinds count as overhead, although they are needed:
// operators of shared network links pay for them, and callers get nothing from
// them.
func (k Kind) CarriesWork() bool {
	switch k {
	case BatchOffer, BatchFetch, SubmissionJoin, SubmissionKeep:
		return true
	}
	return false
}
