package job

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// If the digest did not cover every part of the content, a caller that reuses an id
// by mistake would receive the answer to another job.
func TestContentDigestCoversContent(t *testing.T) {
	base := func() *Submission {
		return &Submission{Service: "s", Team: "t", Tasks: []TaskSpec{{Kind: "k", Payload: []byte(`1`)}, {Payload: []byte(`2`)}}}
	}
	changes := map[string]func(*Submission){
		"service":  func(s *Submission) { s.Service = "x" },
		"team":     func(s *Submission) { s.Team = "x" },
		"kind":     func(s *Submission) { s.Tasks[0].Kind = "x" },
		"payload":  func(s *Submission) { s.Tasks[1].Payload = []byte(`3`) },
		"count":    func(s *Submission) { s.Tasks = s.Tasks[:1] },
		"boundary": func(s *Submission) { s.Tasks[0].Kind, s.Tasks[0].Payload = "", []byte(`k1`) },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			s := base()
			change(s)
			qt.Assert(t, s.ContentDigest() == base().ContentDigest(), qt.IsFalse)
		})
	}
	first, second := base(), base()
	qt.Assert(t, first.ContentDigest(), qt.Equals, second.ContentDigest())
}

func TestRunStatementDefaultsToMayHaveRun(t *testing.T) {
	var a Answer
	qt.Assert(t, a.Run.String(), qt.Equals, "may have run")
	qt.Assert(t, NotRun().Header(), qt.Equals, "not-run")
}
