package register

// Body returns the file in force as it was applied, and its name; nil before
// the first one.
func (r *Register) Body() (body []byte, a Accepted) {
	s := r.current.Load()
	if s == nil || s.Change.Number == 0 {
		return nil, Accepted{}
	}
	return s.body, Accepted{Number: s.Change.Number, Digest: s.Change.Digest.String(), ChangeID: s.Change.ID}
}
