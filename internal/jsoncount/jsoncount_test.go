package jsoncount

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCount(t *testing.T) {
	for raw, want := range map[string]int{
		`null`: 0, `[]`: 0, "[ \n]": 0, `[{}]`: 1, `[[]]`: 1, `[[],[]]`: 2, `[""]`: 1,
		`[{"a":[1,2],"b":"],["}, 3]`: 2, `["\",", "\\", ","]`: 3, `[1,2,3]`: 3,
	} {
		n, err := Count([]byte(raw))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, n, qt.Equals, want, qt.Commentf("%s", raw))
	}
	for _, raw := range []string{`{}`, `"x"`, `7`, `true`} {
		_, err := Count([]byte(raw))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", raw))
	}
}
