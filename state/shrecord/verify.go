package shrecord

import (
	"iter"
	"slices"

	"sequoiahollow/state/shmodel"
)

// ProblemLimit is the largest number of problems that a report lists. Problems
// beyond it are only counted.
const ProblemLimit = 1000

// Report is the result of Verify. Assigned is the sum of Outcomes and Gaps. If
// Complete is set, Assigned + Unused equals Reserved + the number of lines
// outside all ranges.
type Report struct {
	// Reserved is the number of request IDs in all ranges.
	Reserved uint64                     `json:"reserved"`
	Assigned uint64                     `json:"assigned"`
	Unused   uint64                     `json:"unused"`
	Gaps     uint64                     `json:"gaps"`
	Requests uint64                     `json:"requests"`
	Outcomes map[shmodel.Outcome]uint64 `json:"outcomes"`
	// Refused is the part of the not-run requests that were refused.
	Refused uint64 `json:"refused"`
	// NeverClosed is the part of the unknown requests without closing record.
	NeverClosed  uint64 `json:"neverClosed"`
	Records      uint64 `json:"records"`
	SingleCopies uint64 `json:"singleCopies"`
	// ProblemCounts counts all problems; Problems lists the first ProblemLimit.
	ProblemCounts map[ProblemKind]uint64 `json:"problemCounts,omitempty"`
	Problems      []Problem              `json:"problems,omitempty"`
	// Complete says that every ID of every range is covered exactly once and
	// that the counts add up.
	Complete bool `json:"complete"`
	// Clean says that the account is complete and has no gaps and no problems.
	Clean bool `json:"clean"`
}

// Verify exports the records and verifies the lines.
func Verify(ranges []Range, records iter.Seq2[Merged, error]) (Report, error) {
	return VerifyLines(ranges, Export(ranges, records))
}

// VerifyLines checks that lines cover every ID of every range exactly once and
// that the counts of outcomes add up. It does not rely on Export, so it also
// verifies lines that were stored. Memory use is bounded by the number of ranges.
func VerifyLines(ranges []Range, lines iter.Seq2[Line, error]) (Report, error) {
	sorted, err := SortRanges(ranges)
	if err != nil {
		return Report{}, err
	}
	v := &verifier{ranges: sorted, next: make([]shmodel.RequestID, len(sorted))}
	v.report.Outcomes = make(map[shmodel.Outcome]uint64)
	v.report.ProblemCounts = make(map[ProblemKind]uint64)
	for i, r := range sorted {
		v.next[i] = r.First
		v.report.Reserved += uint64(r.Last-r.First) + 1
	}
	for line, err := range lines {
		if err != nil {
			return v.report, err
		}
		v.add(line)
	}
	v.finish()
	return v.report, nil
}

// verifier holds in next, per range, the lowest ID that no line has covered yet.
// The lines of one range come in order.
type verifier struct {
	ranges []Range
	next   []shmodel.RequestID
	report Report
	// outsideLines counts the lines outside all ranges.
	outsideLines uint64
}

func (v *verifier) addProblem(p Problem) {
	v.report.ProblemCounts[p.Kind]++
	if len(v.report.Problems) < ProblemLimit {
		v.report.Problems = append(v.report.Problems, p)
	}
}

func (v *verifier) add(l Line) {
	v.report.Records += uint64(l.Records)
	v.report.SingleCopies += uint64(l.SingleCopies)
	for _, p := range l.Problems {
		v.addProblem(p)
	}
	last := max(l.RequestID, l.LastRequestID)
	size := uint64(last-l.RequestID) + 1
	switch l.Kind {
	case RequestLine:
		v.report.Requests++
		v.report.Outcomes[l.Outcome]++
		if l.Refused {
			v.report.Refused++
		}
		if l.Outcome == shmodel.Unknown && l.ClosedAt.IsZero() {
			v.report.NeverClosed++
		}
	case GapLine:
		v.report.Gaps += size
	case UnusedLine:
		v.report.Unused += size
	}
	v.cover(l, last)
}

// cover marks the IDs of a line as covered.
func (v *verifier) cover(l Line, last shmodel.RequestID) {
	i, found := slices.BinarySearchFunc(v.ranges, l.RequestID, func(r Range, id shmodel.RequestID) int {
		switch {
		case r.Last < id:
			return -1
		case r.First > id:
			return 1
		}
		return 0
	})
	if !found {
		v.outsideLines++
		return
	}
	if last > v.ranges[i].Last {
		v.addProblem(Problem{RequestID: last, Kind: OutsideRange, Detail: "line exceeds its range"})
	}
	if l.RequestID < v.next[i] {
		v.addProblem(Problem{RequestID: l.RequestID, Kind: CountedTwice})
		return
	}
	if l.RequestID > v.next[i] {
		v.addProblem(Problem{RequestID: v.next[i], Kind: NotCounted, Detail: "up to " + (l.RequestID - 1).String()})
	}
	v.next[i] = last + 1
}

func (v *verifier) finish() {
	for i, r := range v.ranges {
		if v.next[i] <= r.Last {
			v.addProblem(Problem{RequestID: v.next[i], Kind: NotCounted, Detail: "up to " + r.Last.String()})
		}
	}
	r := &v.report
	withOutcome := r.Outcomes[shmodel.Answered] + r.Outcomes[shmodel.NotRun] + r.Outcomes[shmodel.Unknown]
	r.Assigned = withOutcome + r.Gaps
	r.Complete = withOutcome == r.Requests &&
		r.Assigned+r.Unused == r.Reserved+v.outsideLines &&
		r.ProblemCounts[CountedTwice] == 0 && r.ProblemCounts[NotCounted] == 0
	r.Clean = r.Complete && r.Gaps == 0 && len(r.ProblemCounts) == 0
}
