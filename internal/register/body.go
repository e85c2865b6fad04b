package register

// Body returns the bytes of the file in effect as they were applied, and what
// identifies the file; nil before the first one.
func (r *Register) Body() (body []byte, a Accepted) {
	s := r.current.Load()
	if s == nil || s.Change.Number == 0 {
		return nil, Accepted{}
	}
	return s.body, Accepted{Number: s.Change.Number, Digest: s.Change.Digest.String(), ChangeID: s.Change.ID}
}
