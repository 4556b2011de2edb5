package shdocument

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"unicode/utf8"
)

// MaxDepth bounds the nesting of a document. Configurations and settings nest
// six levels; the bound keeps malicious input from exhausting the stack.
const MaxDepth = 32

// Value is one JSON value and the file and line that it came from. Its content
// is in exactly one of Members, Elements and Scalar. Scalar is nil, a bool, a
// json.Number or a string.
type Value struct {
	File     string
	Line     int
	Members  map[string]*Value
	Elements []*Value
	Scalar   any
	kind     kind
}

type kind int

const (
	kindScalar kind = iota
	kindObject
	kindList
)

// NewObject returns an empty object without file and line.
func NewObject() *Value {
	return &Value{kind: kindObject, Members: map[string]*Value{}}
}

// IsObject reports whether v is an object.
func (v *Value) IsObject() bool { return v.kind == kindObject }

// IsList reports whether v is a list.
func (v *Value) IsList() bool { return v.kind == kindList }

// IsNull reports whether v is null.
func (v *Value) IsNull() bool { return v.kind == kindScalar && v.Scalar == nil }

// Keys returns the member names in ascending order.
func (v *Value) Keys() []string { return slices.Sorted(maps.Keys(v.Members)) }

// MarshalJSON implements json.Marshaler. Members are in ascending order.
func (v *Value) MarshalJSON() ([]byte, error) {
	switch v.kind {
	case kindObject:
		return json.Marshal(v.Members)
	case kindList:
		if v.Elements == nil {
			return []byte("[]"), nil
		}
		return json.Marshal(v.Elements)
	default:
		return json.Marshal(v.Scalar)
	}
}

// Nearest returns the value at a JSON pointer, or the innermost existing value
// on the way to it.
func (v *Value) Nearest(path string) *Value {
	for _, token := range Split(path) {
		next := v.child(token)
		if next == nil {
			return v
		}
		v = next
	}
	return v
}

// Find returns the value at a JSON pointer, or nil.
func (v *Value) Find(path string) *Value {
	for _, token := range Split(path) {
		v = v.child(token)
		if v == nil {
			return nil
		}
	}
	return v
}

func (v *Value) child(token string) *Value {
	if v.IsObject() {
		return v.Members[token]
	}
	i, err := strconv.Atoi(token)
	if err != nil || i < 0 || i >= len(v.Elements) {
		return nil
	}
	return v.Elements[i]
}

// Parse reads one JSON document. File is the file name in the problems. The
// value is nil if the document is not valid JSON in UTF-8 or is nested too deep.
// Of the values of a duplicate key, the first one is kept.
func Parse(file string, data []byte) (*Value, Problems) {
	if !utf8.Valid(data) {
		return nil, Problems{{File: file, Reason: "not valid UTF-8"}}
	}
	var whole json.RawMessage
	if err := json.Unmarshal(data, &whole); err != nil {
		return nil, Problems{syntaxProblem(file, data, err)}
	}
	p := parser{file: file, data: data, line: 1, decoder: json.NewDecoder(bytes.NewReader(data))}
	p.decoder.UseNumber()
	v := p.value("", p.token(), 0)
	if p.tooDeep {
		return nil, p.problems
	}
	return v, p.problems
}

// CountValues returns a bound on the number of values that Parse makes of data, valid or
// not, without making them.
func CountValues(data []byte) int64 {
	n := int64(1)
	for c := range Structure(data) {
		if c == ',' || c == '[' || c == '{' {
			n++
		}
	}
	return n
}

func syntaxProblem(file string, data []byte, err error) Problem {
	p := Problem{File: file, Reason: err.Error()}
	if syntax, ok := errors.AsType[*json.SyntaxError](err); ok {
		end := min(int(syntax.Offset), len(data))
		p.Line = 1 + bytes.Count(data[:end], []byte("\n"))
	}
	return p
}

// parser builds values from tokens. The data is already known to be valid
// JSON, so reading a token cannot fail.
type parser struct {
	file    string
	data    []byte
	decoder *json.Decoder
	// countedOffset is the offset up to which line counts the newlines.
	countedOffset int
	line          int
	problems      Problems
	tooDeep       bool
}

func (p *parser) token() json.Token {
	token, err := p.decoder.Token()
	if err != nil {
		return nil
	}
	end := int(p.decoder.InputOffset())
	p.line += bytes.Count(p.data[p.countedOffset:end], []byte("\n"))
	p.countedOffset = end
	return token
}

func (p *parser) value(path string, token json.Token, depth int) *Value {
	v := &Value{File: p.file, Line: p.line}
	if depth > MaxDepth {
		p.report(path, "nested deeper than %d levels", MaxDepth)
		p.tooDeep = true
		return v
	}
	switch token {
	case json.Delim('{'):
		p.object(v, path, depth)
	case json.Delim('['):
		p.list(v, path, depth)
	default:
		v.Scalar = token
	}
	return v
}

func (p *parser) object(v *Value, path string, depth int) {
	v.kind, v.Members = kindObject, map[string]*Value{}
	for !p.tooDeep && p.decoder.More() {
		key, _ := p.token().(string)
		keyPath := Join(path, key)
		if first, ok := v.Members[key]; ok {
			p.report(keyPath, "duplicate key, first at line %d", first.Line)
			p.value(keyPath, p.token(), depth+1)
			continue
		}
		v.Members[key] = p.value(keyPath, p.token(), depth+1)
	}
	p.token()
}

func (p *parser) list(v *Value, path string, depth int) {
	v.kind = kindList
	for !p.tooDeep && p.decoder.More() {
		element := Join(path, strconv.Itoa(len(v.Elements)))
		v.Elements = append(v.Elements, p.value(element, p.token(), depth+1))
	}
	p.token()
}

func (p *parser) report(path, format string, args ...any) {
	if len(p.problems) >= maxMistakes {
		return
	}
	p.problems = append(p.problems, Problem{
		File: p.file, Line: p.line, Path: path, Reason: fmt.Sprintf(format, args...),
	})
}
