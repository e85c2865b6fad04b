package config

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault of a declarative file, with its position.
type Problem struct {
	File string `json:"file" cbor:"1,keyasint"`
	// Line and Column count from 1.
	Line    int    `json:"line" cbor:"2,keyasint"`
	Column  int    `json:"column" cbor:"3,keyasint"`
	Message string `json:"message" cbor:"4,keyasint"`
}

// String returns the problem in the format of compilers: FILE:LINE:COLUMN: MESSAGE.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
}

// Problems is the error of Parse: all faults of one file, sorted by position.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sort() {
	sort.SliceStable(p, func(i, j int) bool {
		if p[i].Line != p[j].Line {
			return p[i].Line < p[j].Line
		}
		return p[i].Column < p[j].Column
	})
}
