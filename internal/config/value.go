package config

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/juju/errors"
)

// Bounds of single values, far above any sensible file. They catch typing errors and
// keep sums of values from overflowing.
const (
	maxNumber   = 1 << 62
	maxTeams    = 10_000
	maxServices = 10_000
	maxWeight   = 1_000_000
	maxTasks    = 100_000_000
	maxSlots    = 100_000
	maxSize     = 1 << 40
	minDeadline = time.Millisecond
	maxDeadline = 24 * time.Hour
	minLease    = 100 * time.Millisecond
	maxLease    = time.Minute
)

var (
	identPattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	integerPattern = regexp.MustCompile(`^(0|[1-9][0-9]{0,18})$`)
	sizePattern    = regexp.MustCompile(`^([1-9][0-9]{0,15})(B|KiB|MiB|GiB)$`)
	unitOfSize     = map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
)

// integer reads a decimal number within [low, high]. It rejects the octal, binary and
// grouped forms of YAML: 010 would silently mean 8.
func (d *decoder) integer(n ast.Node, what string, low, high int64) int64 {
	v, ok := n.(*ast.IntegerNode)
	if !ok {
		d.problemAtNode(n, "%s: must be a whole number", what)
		return low
	}
	if !integerPattern.MatchString(v.Token.Value) {
		d.problemAtNode(n, "%s: must be a decimal number without sign or leading zero, not %s", what, v.Token.Value)
		return low
	}
	i, err := strconv.ParseInt(v.Token.Value, 10, 64)
	if err != nil || i < low || i > high {
		d.problemAtNode(n, "%s: %s is not between %d and %d", what, v.Token.Value, low, high)
		return low
	}
	return i
}

func (d *decoder) text(n ast.Node, what string) (string, bool) {
	v, ok := n.(*ast.StringNode)
	if !ok {
		d.problemAtNode(n, "%s: must be text (quote it if it looks like a number)", what)
		return "", false
	}
	return v.Value, true
}

func (d *decoder) ident(n ast.Node, what string) string {
	s, ok := d.text(n, what)
	if ok && !identPattern.MatchString(s) {
		d.problemAtNode(n, "%s: %q is not a name (letters, digits, dot, dash, underscore; at most 64)", what, s)
	}
	return s
}

func (d *decoder) boolean(n ast.Node, what string) bool {
	v, ok := n.(*ast.BoolNode)
	if !ok {
		d.problemAtNode(n, "%s: must be true or false", what)
		return false
	}
	return v.Value
}

// duration reads a duration with its unit, such as 800ms or 4s. It rejects a bare
// number, since a reader would have to guess its unit.
func (d *decoder) duration(n ast.Node, what string, low, high time.Duration) time.Duration {
	v, ok := n.(*ast.StringNode)
	if !ok {
		d.problemAtNode(n, "%s: must be a duration with a unit, as 800ms or 4s", what)
		return low
	}
	t, err := time.ParseDuration(v.Value)
	if err != nil {
		d.problemAtNode(n, "%s: %q is not a duration with a unit, as 800ms or 4s", what, v.Value)
		return low
	}
	if t < low || t > high {
		d.problemAtNode(n, "%s: %s is not between %s and %s", what, v.Value, low, high)
		return low
	}
	return t
}

// size reads a number of bytes with its unit, such as 16MiB.
func (d *decoder) size(n ast.Node, what string) int64 {
	v, ok := n.(*ast.StringNode)
	if !ok {
		d.problemAtNode(n, "%s: must be a size with a unit, as 16MiB", what)
		return 1
	}
	m := sizePattern.FindStringSubmatch(v.Value)
	if m == nil {
		d.problemAtNode(n, "%s: %q is not a size with a unit (B, KiB, MiB, GiB), as 16MiB", what, v.Value)
		return 1
	}
	i, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil || i > maxSize/unitOfSize[m[2]] {
		d.problemAtNode(n, "%s: %s is above the largest size, 1024GiB", what, v.Value)
		return 1
	}
	return i * unitOfSize[m[2]]
}

// choice reads one of a fixed set of words.
func choice[T any](d *decoder, n ast.Node, what string, parse func(string) (T, error)) T {
	var zero T
	s, ok := d.text(n, what)
	if !ok {
		return zero
	}
	v, err := parse(s)
	if err != nil {
		d.problemAtNode(n, "%s: %s", what, strings.TrimSuffix(err.Error(), " not valid"))
		return zero
	}
	return v
}

const (
	lateRefuse = "refuse"
	lateFlag   = "flag"
)

func parseLate(s string) (bool, error) {
	switch s {
	case lateRefuse:
		return false, nil
	case lateFlag:
		return true, nil
	}
	return false, errors.Errorf("late answers %q (refuse or flag)", s)
}
