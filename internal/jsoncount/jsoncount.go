// Package jsoncount counts the elements of JSON arrays before they are decoded.
//
// An empty element takes two or three bytes of text and up to a hundred once it is decoded,
// so a body within its limit can describe more than fits into the memory of a small VM.
package jsoncount

import "github.com/juju/errors"

// Elements is the number of elements of a JSON array. Decoding into it allocates
// nothing. If the key of the array is repeated, the largest of the arrays counts.
type Elements int

// UnmarshalJSON implements json.Unmarshaler. raw is valid JSON.
func (n *Elements) UnmarshalJSON(raw []byte) error {
	count, err := Count(raw)
	*n = max(*n, Elements(count))
	return err
}

// Count returns the number of elements of a JSON array or null. raw must be valid
// JSON.
func Count(raw []byte) (int, error) {
	if string(raw) == "null" {
		return 0, nil
	}
	if len(raw) == 0 || raw[0] != '[' {
		return 0, errors.New("not an array")
	}
	commas, depth, inString, empty := 0, 0, false, true
	for i := 0; i < len(raw); i++ {
		switch b := raw[i]; {
		case inString && b == '\\':
			i++ // the next byte is escaped
		case b == '"':
			inString, empty = !inString, false
		case inString || b == ' ' || b == '\t' || b == '\r' || b == '\n':
		case b == '[' || b == '{':
			depth++
			empty = empty && depth == 1
		case b == ']' || b == '}':
			depth--
		case b == ',' && depth == 1:
			commas++
		default:
			empty = false
		}
	}
	if empty {
		return 0, nil
	}
	return commas + 1, nil
}
