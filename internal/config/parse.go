package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/juju/errors"
)

// Bounds checked before a file is parsed. Files come over the network, so without
// these bounds one request could exhaust the memory or overflow the stack of the
// parser, which recurses once per nesting level.
const (
	// MaxFileBytes bounds the size of a file.
	MaxFileBytes = 1 << 20
	// maxNesting bounds the open brackets plus the list dashes on one line; a valid
	// file needs three.
	maxNesting = 16
	// maxKeys bounds the keys of one block mapping; a valid file needs seven. The
	// parser recurses once per key and takes quadratic time: a file of 100,000
	// keys took 23 s.
	maxKeys = 64
	// maxProblems bounds the number of problems reported for one file.
	maxProblems = 200
)

// Digest returns the SHA-256 digest of a file in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Parse parses and validates a whole file; messages refer to it by name. Its error is
// Problems, a list of all faults found. An invalid file yields no File, so no part of
// it can be applied.
func Parse(name string, data []byte) (*File, error) {
	d := &decoder{name: name}
	tokens := d.tokens(data)
	if len(d.problems) > 0 {
		return nil, d.problems
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntaxProblem(err)
		return nil, d.problems
	}
	f := &File{}
	d.file(f, tree)
	if len(d.problems) > 0 {
		d.problems.sort()
		return nil, d.problems
	}
	return f, nil
}

// tokens splits data into tokens and rejects YAML features that a declarative file
// does not need. It rejects aliases so that no short file can expand to a large one.
func (d *decoder) tokens(data []byte) token.Tokens {
	if len(data) > MaxFileBytes {
		d.problemAt(1, 1, "file of %d bytes; at most %d are allowed", len(data), MaxFileBytes)
		return nil
	}
	if !utf8.Valid(data) {
		d.problemAt(1, 1, "not UTF-8 text")
		return nil
	}
	tokens := lexer.Tokenize(string(data))
	open, dashes, line := 0, 0, 0
	keys := map[int]int{}
	for _, t := range tokens {
		if t.Position.Line != line {
			dashes, line = 0, t.Position.Line
		}
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType, token.MappingKeyType, token.DirectiveType:
			d.problemAtToken(t, "%q: anchors, aliases, tags, directives and complex keys are not allowed", t.Value)
		case token.InvalidType:
			d.problemAtToken(t, "not valid YAML: %s", t.Error)
		case token.MappingStartType, token.SequenceStartType:
			open++
		case token.MappingEndType, token.SequenceEndType:
			open--
		case token.SequenceEntryType:
			dashes++
			dropInnerCounts(keys, t.Position.Column)
		case token.MappingValueType:
			if open > 0 || t.Prev == nil {
				break
			}
			column := t.Prev.Position.Column
			dropInnerCounts(keys, column)
			keys[column]++
			if keys[column] > maxKeys {
				d.problemAtToken(t.Prev, "more than %d keys in one mapping", maxKeys)
				return nil
			}
		}
		if open+dashes > maxNesting {
			d.problemAtToken(t, "nested too deeply")
			return nil
		}
	}
	return tokens
}

// dropInnerCounts drops the key counts of the mappings that are indented deeper than
// column: a token at column ends them.
func dropInnerCounts(keys map[int]int, column int) {
	for c := range keys {
		if c > column {
			delete(keys, c)
		}
	}
}

func (d *decoder) syntaxProblem(err error) {
	var s *yaml.SyntaxError
	if errors.As(err, &s) && s.Token != nil {
		d.problemAtToken(s.Token, "not valid YAML: %s", s.Message)
		return
	}
	d.problemAt(1, 1, "not valid YAML: %v", err)
}

func (d *decoder) problemAtToken(t *token.Token, format string, args ...any) {
	if t == nil || t.Position == nil {
		d.problemAt(1, 1, format, args...)
		return
	}
	d.problemAt(t.Position.Line, t.Position.Column, format, args...)
}

func (d *decoder) problemAt(line, column int, format string, args ...any) {
	if len(d.problems) >= maxProblems {
		return
	}
	p := Problem{File: d.name, Line: line, Column: column, Message: fmt.Sprintf(format, args...)}
	d.problems = append(d.problems, p)
}
