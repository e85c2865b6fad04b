package consensus

// checkVersion reports whether m concerns the version that this node votes on.
// If m is about a later version, it requests the chosen value from the sender; if
// m is about an earlier one, it sends the chosen value to the sender.
func (t *step) checkVersion(m *Message) bool {
	next := t.Chosen.Version + 1
	if m.Version > next {
		t.send(t.message(MsgFetch, m.From.Entry))
		return false
	}
	if m.Version < next {
		t.sendLearn(m.From)
		return false
	}
	return t.Voting()
}

func (t *step) onPrepare(m *Message) {
	if !t.checkVersion(m) {
		return
	}
	if m.Ballot.Less(t.Promised) {
		t.reject(m)
		return
	}
	t.promise(m.Ballot)
	reply := t.message(MsgPromise, m.From.Entry)
	reply.Version, reply.Ballot, reply.Accepted = m.Version, m.Ballot, t.Accepted
	t.sendSynced(reply)
}

func (t *step) onAccept(m *Message) {
	if !t.checkVersion(m) || m.Command == nil {
		return
	}
	if m.Ballot.Less(t.Promised) {
		t.reject(m)
		return
	}
	t.promise(m.Ballot)
	if t.Accepted == nil || t.Accepted.Ballot != m.Ballot {
		t.Accepted = &Proposal{Ballot: m.Ballot, Command: *m.Command}
		t.dirty = true
	}
	reply := t.message(MsgAccepted, m.From.Entry)
	reply.Version, reply.Ballot = m.Version, m.Ballot
	t.sendSynced(reply)
}

func (t *step) promise(b Ballot) {
	t.Round = max(t.Round, b.Round)
	if t.Promised != b {
		t.Promised = b
		t.dirty = true
	}
}

func (t *step) reject(m *Message) {
	reply := t.message(MsgReject, m.From.Entry)
	reply.Version, reply.Ballot = m.Version, t.Promised
	t.send(reply)
}
