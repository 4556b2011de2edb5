package shexplain_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shexplain"
)

const entryLog = `  1.2 edge-1 {"time":"2026-03-15T08:29:10Z","level":"INFO","msg":"routing table in force","vm":"edge-1","version":3,"index":9}
  2.2 edge-1 {"time":"2026-03-15T08:29:12Z","level":"INFO","msg":"routing table in force","vm":"edge-1","version":5,"index":12}
  9.0 edge-1 {"time":"2026-03-15T08:29:19.5Z","level":"INFO","msg":"attempt without a final answer","vm":"edge-1","request":"9c41","backend":"i-1","result":"broken","load":2}
  9.0 edge-1 {"time":"2026-03-15T08:29:19.6Z","level":"INFO","msg":"request ended without a backend server's answer","vm":"edge-1","request":"9c41","outcome":"unknown","status":502,"reason":"the request may have run"}
  9.1 edge-1 {"time":"2026-03-15T08:29:20Z","level":"INFO","msg":"late answer","vm":"edge-1","request":"other"}
not a log line
`

const controlLog = `{"time":"2026-03-15T08:29:02Z","level":"INFO","msg":"backend server announced","vm":"core-1","id":"i-1"}
{"time":"2026-03-15T08:29:15Z","level":"INFO","msg":"silent backend servers removed","vm":"core-1","instances":[{"id":"i-1","born":7}]}
{"time":"2026-03-15T08:29:16Z","level":"INFO","msg":"backend server announced","vm":"core-1","id":"i-2"}
`

// Guards against a timeline without the lines that explain the outcome of the
// request, or with lines that do not concern it.
func TestRead(t *testing.T) {
	s, err := shexplain.Read("9c41", strings.NewReader(entryLog), strings.NewReader(controlLog))
	assert.NilError(t, err)
	assert.Equal(t, s.Skipped, 1)
	var got []string
	for _, l := range append(s.Context, s.Lines...) {
		got = append(got, l.VM+" "+l.Message)
	}
	assert.DeepEqual(t, got, []string{
		"edge-1 routing table in force", "core-1 silent backend servers removed",
		"edge-1 attempt without a final answer", "edge-1 request ended without a backend server's answer",
	})
	assert.Equal(t, s.Context[0].Fields["version"], 5.0)
}

func ExampleTimeline_Write() {
	s, err := shexplain.Read("9c41", strings.NewReader(entryLog))
	if err == nil {
		err = s.Write(os.Stdout)
	}
	if err != nil {
		panic(err)
	}
	// Output:
	// request 9c41
	// what was known:
	//   08:29:12.000 edge-1: routing table in force index=12 version=5
	// what happened:
	//   08:29:19.500 edge-1: attempt without a final answer backend=i-1 load=2 result=broken
	//   08:29:19.600 edge-1: request ended without a backend server's answer outcome=unknown reason=the request may have run status=502
}
