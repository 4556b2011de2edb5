package shrecord_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shrecord"
)

// Guards against a request that is billed in two months or in none, and against
// a filter that hides gaps.
func TestFilter(t *testing.T) {
	month := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	line := func(at time.Time) shrecord.Line {
		return shrecord.Line{Kind: shrecord.RequestLine, Service: "s", ClosedAt: at}
	}
	before := shrecord.Filter{Until: month}
	after := shrecord.Filter{Since: month, Service: "s"}
	for _, at := range []time.Time{month.Add(-1), month, month.Add(1)} {
		assert.Assert(t, before.Selects(line(at)) != after.Selects(line(at)), fmt.Sprint(at))
	}
	assert.Assert(t, after.Selects(shrecord.Line{Kind: shrecord.GapLine}))
	assert.Assert(t, !after.Selects(shrecord.Line{Kind: shrecord.RequestLine, Service: "other", OpenedAt: month}))
	assert.Assert(t, !after.Selects(shrecord.Line{Kind: shrecord.UnusedLine}))
	assert.Assert(t, shrecord.Filter{}.Selects(shrecord.Line{Kind: shrecord.UnusedLine}))
}

// Guards against requests that are counted in two rows of a summary or in none.
func TestSummarize(t *testing.T) {
	s, err := shrecord.Summarize(func(yield func(shrecord.Line, error) bool) {
		_ = yield(shrecord.Line{Kind: shrecord.RequestLine, Service: "s", Outcome: "answered", AnswerBytes: 3}, nil) &&
			yield(shrecord.Line{Kind: shrecord.RequestLine, Service: "s", Outcome: "answered", AnswerBytes: 4, Replayed: true}, nil) &&
			yield(shrecord.Line{Kind: shrecord.RequestLine, Service: "s", Outcome: "answered", Team: "t"}, nil) &&
			yield(shrecord.Line{Kind: shrecord.RequestLine, Service: "s", Outcome: "not-run", Refused: true}, nil) &&
			yield(shrecord.Line{Kind: shrecord.GapLine}, nil) && yield(shrecord.Line{Kind: shrecord.UnusedLine}, nil)
	})
	assert.NilError(t, err)
	assert.Equal(t, s.Gaps, uint64(1))
	assert.Equal(t, len(s.Rows), 3)
	assert.Equal(t, s.Rows[0].Requests, uint64(2))
	assert.Equal(t, s.Rows[0].Replayed, uint64(1))
	assert.Equal(t, s.Rows[0].AnswerBytes, int64(7))
	assert.Equal(t, s.Rows[2].Team, "t")
}
