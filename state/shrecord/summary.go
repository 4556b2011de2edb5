package shrecord

import (
	"cmp"
	"iter"
	"slices"

	"sequoiahollow/state/shmodel"
)

// SummaryKey holds the fields by which a summary groups requests.
type SummaryKey struct {
	Service   shmodel.Service       `json:"service,omitempty"`
	Operation shmodel.OperationKind `json:"operation,omitempty"`
	Outcome   shmodel.Outcome       `json:"outcome"`
	Refused   bool                  `json:"refused,omitempty"`
	Team      string                `json:"team,omitempty"`
}

// SummaryRow counts the requests of one key. Bytes are those of bodies.
type SummaryRow struct {
	SummaryKey
	Requests uint64 `json:"requests"`
	// Replayed is the part of the requests that got a recorded answer, and
	// HandedOver the part that another region ran.
	Replayed     uint64 `json:"replayed,omitempty"`
	HandedOver   uint64 `json:"handedOver,omitempty"`
	RequestBytes int64  `json:"requestBytes"`
	AnswerBytes  int64  `json:"answerBytes"`
}

// Summary adds up the lines of an export.
type Summary struct {
	Rows []SummaryRow `json:"rows"`
	// Gaps is the number of request IDs without any record. Their requests are
	// in no row.
	Gaps uint64 `json:"gaps"`
	// Problems is the number of lines with problems.
	Problems uint64 `json:"problems"`
}

// Summarize adds up lines. Rows are sorted by their key. It returns the first
// error of lines.
func Summarize(lines iter.Seq2[Line, error]) (Summary, error) {
	var s Summary
	rows := map[SummaryKey]*SummaryRow{}
	for line, err := range lines {
		if err != nil {
			return Summary{}, err
		}
		s.count(line)
		if line.Kind == RequestLine {
			rowOf(rows, line).add(line)
		}
	}
	for _, row := range rows {
		s.Rows = append(s.Rows, *row)
	}
	slices.SortFunc(s.Rows, func(a, b SummaryRow) int {
		return cmp.Or(
			cmp.Compare(a.Team, b.Team),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Operation, b.Operation),
			cmp.Compare(a.Outcome, b.Outcome),
			compareFlags(a.Refused, b.Refused),
		)
	})
	return s, nil
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// count counts gaps and lines with problems.
func (s *Summary) count(l Line) {
	if l.Kind == GapLine {
		s.Gaps++
	}
	if len(l.Problems) > 0 {
		s.Problems++
	}
}

func rowOf(rows map[SummaryKey]*SummaryRow, l Line) *SummaryRow {
	key := SummaryKey{Service: l.Service, Operation: l.Operation, Outcome: l.Outcome, Refused: l.Refused, Team: l.Team}
	row := rows[key]
	if row == nil {
		row = &SummaryRow{SummaryKey: key}
		rows[key] = row
	}
	return row
}

func (r *SummaryRow) add(l Line) {
	r.Requests++
	r.RequestBytes += l.RequestBytes
	r.AnswerBytes += l.AnswerBytes
	if l.Replayed {
		r.Replayed++
	}
	if l.HandedOver {
		r.HandedOver++
	}
}
