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

// Bounds of a file before its meaning is looked at. A file comes over the
// network, so without them one request could take all memory or overflow the
// stack of the parser, which recurses once a nesting level.
const (
	// MaxFileBytes bounds the size of a file.
	MaxFileBytes = 1 << 20
	// maxNesting bounds open brackets and list dashes on one line; a right file
	// needs three.
	maxNesting = 16
	// maxKeys bounds the keys of one block mapping; a right file needs seven.
	// The parser recurses once a key and takes time by their square: a file of
	// 100,000 keys kept it busy for 23 s.
	maxKeys = 64
	// maxProblems bounds the report on one file.
	maxProblems = 200
)

// Digest identifies the bytes of a file: SHA-256 in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Parse reads and checks a whole file. name stands in the messages. Its error
// is Problems with everything that is wrong; a wrong file gives no File, so
// no part of it can be applied.
func Parse(name string, data []byte) (*File, error) {
	d := &decoder{name: name}
	tokens := d.tokens(data)
	if len(d.problems) > 0 {
		return nil, d.problems
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntax(err)
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

// tokens splits data and refuses what a declarative file has no use for.
// Aliases are refused, so no short file can expand to a large one.
func (d *decoder) tokens(data []byte) token.Tokens {
	if len(data) > MaxFileBytes {
		d.at(1, 1, "file of %d bytes; at most %d are allowed", len(data), MaxFileBytes)
		return nil
	}
	if !utf8.Valid(data) {
		d.at(1, 1, "not UTF-8 text")
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
			d.token(t, "%q: anchors, aliases, tags, directives and complex keys are not allowed", t.Value)
		case token.InvalidType:
			d.token(t, "not valid YAML: %s", t.Error)
		case token.MappingStartType, token.SequenceStartType:
			open++
		case token.MappingEndType, token.SequenceEndType:
			open--
		case token.SequenceEntryType:
			dashes++
			forgetInner(keys, t.Position.Column)
		case token.MappingValueType:
			if open > 0 || t.Prev == nil {
				break
			}
			column := t.Prev.Position.Column
			forgetInner(keys, column)
			keys[column]++
			if keys[column] > maxKeys {
				d.token(t.Prev, "more than %d keys in one mapping", maxKeys)
				return nil
			}
		}
		if open+dashes > maxNesting {
			d.token(t, "nested too deeply")
			return nil
		}
	}
	return tokens
}

// forgetInner drops the key counts of the mappings that are indented deeper
// than column: a token there ends them.
func forgetInner(keys map[int]int, column int) {
	for c := range keys {
		if c > column {
			delete(keys, c)
		}
	}
}

func (d *decoder) syntax(err error) {
	var s *yaml.SyntaxError
	if errors.As(err, &s) && s.Token != nil {
		d.token(s.Token, "not valid YAML: %s", s.Message)
		return
	}
	d.at(1, 1, "not valid YAML: %v", err)
}

func (d *decoder) token(t *token.Token, format string, args ...any) {
	if t == nil || t.Position == nil {
		d.at(1, 1, format, args...)
		return
	}
	d.at(t.Position.Line, t.Position.Column, format, args...)
}

func (d *decoder) at(line, column int, format string, args ...any) {
	if len(d.problems) >= maxProblems {
		return
	}
	p := Problem{File: d.name, Line: line, Column: column, Message: fmt.Sprintf(format, args...)}
	d.problems = append(d.problems, p)
}
