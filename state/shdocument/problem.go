// Package shdocument holds JSON documents together with the file and line that
// each value came from, so that a mistake can be reported where it was made.
//
// ReadFile reads a file up to a limit. Parse reads a document and reports syntax
// errors and duplicate keys. Check compares a document with a Go type and
// reports unknown fields and wrong types. Merge and CreatePatch implement JSON
// merge patches (RFC 7396), and Diff lists the differences of two documents.
// Paths are JSON pointers (RFC 6901).
package shdocument

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one mistake in a document. Line counts from 1. File is empty and
// Line is 0 if they are not known. Path is a JSON pointer, empty for the
// whole document.
type Problem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String returns the form "file:line: path: reason".
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		if p.Line > 0 {
			fmt.Fprintf(&b, ":%d", p.Line)
		}
		b.WriteString(": ")
	}
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Reason)
	return b.String()
}

// Problems lists every mistake found in one pass. It is used as an error if it
// is not empty.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem without file and line.
func (p *Problems) Add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Sort orders problems by file, line and path.
func (p Problems) Sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Path, b.Path),
		)
	})
}

// Locate sets the file and line of problems that have none to those of the
// value at their path, or of the nearest value that contains it.
func (p Problems) Locate(v *Value) {
	for i := range p {
		if p[i].File != "" {
			continue
		}
		origin := v.Nearest(p[i].Path)
		p[i].File, p[i].Line = origin.File, origin.Line
	}
}

// Unrelated returns the problems that are not at or below the path of a known
// problem of the same file. A value of the wrong type decodes to a zero value,
// and validating the zero value would report the same mistake again.
func (p Problems) Unrelated(known Problems) Problems {
	return slices.DeleteFunc(slices.Clone(p), func(a Problem) bool {
		return slices.ContainsFunc(known, func(b Problem) bool {
			return a.File == b.File && (a.Path == b.Path || strings.HasPrefix(a.Path, b.Path+"/"))
		})
	})
}

// Join appends tokens to a JSON pointer.
func Join(path string, tokens ...string) string {
	for _, token := range tokens {
		path += "/" + escaper.Replace(token)
	}
	return path
}

// Split returns the tokens of a JSON pointer.
func Split(path string) []string {
	if path == "" {
		return nil
	}
	tokens := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, token := range tokens {
		tokens[i] = unescaper.Replace(token)
	}
	return tokens
}

var (
	escaper   = strings.NewReplacer("~", "~0", "/", "~1")
	unescaper = strings.NewReplacer("~1", "/", "~0", "~")
)
