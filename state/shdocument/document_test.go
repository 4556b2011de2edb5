package shdocument_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/state/shdocument"
)

func ExampleProblem_String() {
	_, problems := shdocument.Parse("10.json", []byte("{\n  \"a\": 1,\n  \"a\": 2\n}"))
	fmt.Println(problems[0])
	// Output: 10.json:3: /a: duplicate key, first at line 2
}

func ExampleDiff() {
	from, _ := shdocument.Parse("", []byte(`{"a": {"b": 1, "c": [1]}, "d": 1}`))
	to, _ := shdocument.Parse("", []byte(`{"a": {"b": 2, "c": [1, 2]}, "e": {}}`))
	changes, _ := shdocument.Diff(from, to)
	for _, change := range changes {
		fmt.Printf("%s [%s] [%s]\n", change.Path, change.Old, change.New)
	}
	// Output:
	// /a/b [1] [2]
	// /a/c [[1]] [[1,2]]
	// /d [1] []
	// /e [] [{}]
}

// TestParse guards against mistakes that are reported with a wrong file, line or
// path, or not at all.
func TestParse(t *testing.T) {
	for name, c := range map[string]struct{ data, want string }{
		"syntax":          {"{\n\"a\": 1,\n}", "f:3: invalid character"},
		"end of file":     {"{\n", "f:2: unexpected end"},
		"second document": {"{}\n{}", "f:2: invalid character"},
		"empty":           {"", "f:1: unexpected end"},
		"encoding":        {"{\"\xff\": 1}", "f: not valid UTF-8"},
		"inner duplicate": {"[{\n\"a/b~\": {\"x\": 1}, \"c\": 1,\n\"a/b~\": {}}]", "f:3: /0/a~1b~0: duplicate key, first at line 2"},
		"deep":            {strings.Repeat("[", 50) + strings.Repeat("]", 50), "nested deeper than 32 levels"},
	} {
		t.Run(name, func(t *testing.T) {
			_, problems := shdocument.Parse("f", []byte(c.data))
			assert.Equal(t, len(problems), 1)
			assert.ErrorContains(t, problems, c.want)
		})
	}
}

type sample struct {
	Text  string            `json:"text"`
	Count int64             `json:"count,omitempty"`
	Share float64           `json:"share,omitzero"`
	Flag  bool              `json:"flag"`
	Sizes map[string]uint32 `json:"sizes"`
	List  []sample          `json:"list"`
}

// TestCheck guards against mistakes that encoding/json accepts, or reports
// without line and path: other letter case, fractions, nulls and unknown fields.
func TestCheck(t *testing.T) {
	for data, want := range map[string]string{
		`{"Text": "x"}`:               "f:1: /Text: unknown field",
		`{"text": 1}`:                 "f:1: /text: want a string, got the number 1",
		`{"count": 1.5}`:              "f:1: /count: want an integer, got the number 1.5",
		`{"count": "1"}`:              `f:1: /count: want an integer, got the string "1"`,
		`{"share": 1e999}`:            "f:1: /share: want a number, got the number 1e999",
		`{"flag": null}`:              "f:1: /flag: want true or false, got null",
		`{"sizes": {"a": -1}}`:        "f:1: /sizes/a: want an integer that is not negative, got the number -1",
		`{"sizes": []}`:               "f:1: /sizes: want an object, got a list",
		`{"list": {}}`:                "f:1: /list: want a list, got an object",
		`{"list": [{}, {"flag": 0}]}`: "f:1: /list/1/flag: want true or false, got the number 0",
		`[]`:                          "f:1: want an object, got a list",
	} {
		t.Run(data, func(t *testing.T) {
			v, problems := shdocument.Parse("f", []byte(data))
			assert.Equal(t, len(problems), 0)
			assert.Error(t, shdocument.Check[sample](v, false), want)
		})
	}
}

// TestCheckNulls guards against rejecting removals, and against accepting nulls
// in lists, which a merge does not remove.
func TestCheckNulls(t *testing.T) {
	v, _ := shdocument.Parse("f", []byte(`{"text": null, "sizes": {"a": null}, "list": [null]}`))
	assert.Error(t, shdocument.Check[sample](v, true), "f:1: /list/0: want an object, got null")
}

// TestMergeRFC7396 runs the examples of RFC 7396, appendix A, that have an
// object as target.
func TestMergeRFC7396(t *testing.T) {
	for _, c := range [][3]string{
		{`{"a":"b"}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":"b"}`, `{"b":"c"}`, `{"a":"b","b":"c"}`},
		{`{"a":"b"}`, `{"a":null}`, `{}`},
		{`{"a":"b","b":"c"}`, `{"a":null}`, `{"b":"c"}`},
		{`{"a":["b"]}`, `{"a":"c"}`, `{"a":"c"}`},
		{`{"a":"c"}`, `{"a":["b"]}`, `{"a":["b"]}`},
		{`{"a":{"b":"c"}}`, `{"a":{"b":"d","c":null}}`, `{"a":{"b":"d"}}`},
		{`{"a":[{"b":"c"}]}`, `{"a":[1]}`, `{"a":[1]}`},
		{`{"a":"foo"}`, `null`, `null`},
		{`{"e":null}`, `{"a":1}`, `{"a":1,"e":null}`},
		{`{}`, `{"a":{"bb":{"ccc":null}}}`, `{"a":{"bb":{}}}`},
	} {
		t.Run(c[0]+c[1], func(t *testing.T) {
			target, _ := shdocument.Parse("", []byte(c[0]))
			patch, _ := shdocument.Parse("", []byte(c[1]))
			assert.Equal(t, encode(t, shdocument.Merge(target, patch)), c[2])
		})
	}
}

// TestPatchRoundTrip guards against deltas that do not reproduce the new
// document, and against a Diff that misses or invents a difference.
func TestPatchRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := documents().Draw(t, "from")
		to := documents().Draw(t, "to")
		patch, err := shdocument.CreatePatch(from, to)
		assert.NilError(t, err)
		assert.Equal(t, encode(t, shdocument.Merge(from, patch)), encode(t, to))
		changes, err := shdocument.Diff(from, to)
		assert.NilError(t, err)
		assert.Equal(t, len(changes) == 0, encode(t, from) == encode(t, to))
		assert.Equal(t, len(changes) == 0, len(patch.Members) == 0)
	})
}

// TestPatchNull guards against a patch that removes a member that should be set
// to null.
func TestPatchNull(t *testing.T) {
	to, _ := shdocument.Parse("", []byte(`{"a": {"b": null}}`))
	_, err := shdocument.CreatePatch(shdocument.NewObject(), to)
	assert.ErrorContains(t, err, "cannot set a member to null")
}

// documents generates small objects with few keys, so that two of them often
// share keys.
func documents() *rapid.Generator[*shdocument.Value] {
	key := rapid.SampledFrom([]string{"a", "b", "c~/"})
	var member func(depth int) *rapid.Generator[any]
	member = func(depth int) *rapid.Generator[any] {
		scalar := rapid.Map(rapid.IntRange(0, 2), func(i int) any { return i })
		list := rapid.Map(rapid.SliceOfN(rapid.IntRange(0, 1), 0, 2), func(l []int) any { return l })
		if depth == 0 {
			return rapid.OneOf(scalar, list)
		}
		object := rapid.Map(rapid.MapOfN(key, member(depth-1), 0, 3), func(m map[string]any) any { return m })
		return rapid.OneOf(scalar, list, object)
	}
	return rapid.Map(rapid.MapOfN(key, member(2), 0, 3), func(m map[string]any) *shdocument.Value {
		v, err := shdocument.Encode(m)
		if err != nil {
			panic(err)
		}
		return v
	})
}

func encode(t assert.TestingT, v *shdocument.Value) string {
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	return string(data)
}

// Guards against a limit that truncates a file or rejects one of exactly the
// limit.
func TestReadFileLimit(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f.json")
	assert.NilError(t, os.WriteFile(file, []byte("1234"), 0o600))
	data, err := shdocument.ReadFile(file, 4)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "1234")
	_, err = shdocument.ReadFile(file, 3)
	assert.Error(t, err, "read "+file+": larger than 3 bytes")
}
