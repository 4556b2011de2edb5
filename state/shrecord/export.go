package shrecord

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

// LineKind is the kind of a line of the export.
type LineKind string

// Kinds of lines.
const (
	// RequestLine is one request.
	RequestLine LineKind = "request"
	// GapLine is an assigned request ID that has no record.
	GapLine LineKind = "gap"
	// UnusedLine is the part of a range that, according to the records, was not
	// assigned.
	UnusedLine LineKind = "unused"
)

// Reasons of lines whose outcome is not in a closing record.
const (
	ReasonNeverClosed         = "opened and never closed"
	ReasonNoOpening           = "attempts without opening or closing record"
	ReasonContradictoryCopies = "copies of the closing record contradict each other"
	ReasonSeveralClosings     = "several closing records contradict each other"
	ReasonGap                 = "no record of an assigned request ID"
	ReasonUnused              = "not assigned"
	ReasonOutsideRange        = "request ID is in no reserved range"
)

// Problem is an inconsistency of the account that an operator has to review.
type Problem struct {
	RequestID shmodel.RequestID `json:"requestId,omitempty"`
	Kind      ProblemKind       `json:"kind"`
	Detail    string            `json:"detail,omitempty"`
}

// ProblemKind is the kind of a Problem.
type ProblemKind string

// Kinds of problems.
const (
	// ContradictoryCopies says that copies of one record differ.
	ContradictoryCopies ProblemKind = "contradictory-copies"
	// DuplicateClosing says that two closing records have the same outcome.
	DuplicateClosing ProblemKind = "duplicate-closing"
	// ContradictoryClosing says that two closing records have different outcomes.
	ContradictoryClosing ProblemKind = "contradictory-closing"
	// DuplicateOpening says that two VMs opened the request.
	DuplicateOpening ProblemKind = "duplicate-opening"
	// MissingOpening says that a request that was not refused has no opening
	// record.
	MissingOpening ProblemKind = "missing-opening"
	// MissingAttempt says that fewer attempts are recorded than were made.
	MissingAttempt ProblemKind = "missing-attempt"
	// OutsideRange says that a request ID is in no reserved range.
	OutsideRange ProblemKind = "outside-range"
	// WrongVM says that the range of the request ID belongs to another VM.
	WrongVM ProblemKind = "wrong-vm"
	// InvalidRecord says that Record.Validate fails.
	InvalidRecord ProblemKind = "invalid-record"
	// CountedTwice and NotCounted say that a request ID is in several lines of an
	// export, or in none.
	CountedTwice ProblemKind = "counted-twice"
	NotCounted   ProblemKind = "not-counted"
)

// Line is one line of the export. A request line bills one request. A gap line
// covers one request ID; an unused line covers RequestID to LastRequestID,
// inclusive. Outcome is empty in gap and unused lines.
type Line struct {
	Kind          LineKind              `json:"kind"`
	RequestID     shmodel.RequestID     `json:"requestId"`
	LastRequestID shmodel.RequestID     `json:"lastRequestId,omitempty"`
	VM            shmodel.VM            `json:"vm"`
	OpenedAt      time.Time             `json:"openedAt,omitzero"`
	ClosedAt      time.Time             `json:"closedAt,omitzero"`
	Service       shmodel.Service       `json:"service,omitempty"`
	Method        string                `json:"method,omitempty"`
	Path          string                `json:"path,omitempty"`
	Operation     shmodel.OperationKind `json:"operation,omitempty"`
	Key           string                `json:"key,omitempty"`
	Caller        string                `json:"caller,omitempty"`
	Team          string                `json:"team,omitempty"`
	FromRegion    shmodel.Region        `json:"fromRegion,omitempty"`
	ToRegion      shmodel.Region        `json:"toRegion,omitempty"`
	BackendServer shmodel.BackendServer `json:"backendServer,omitempty"`
	Outcome       shmodel.Outcome       `json:"outcome,omitempty"`
	Refused       bool                  `json:"refused,omitempty"`
	Reason        string                `json:"reason,omitempty"`
	Status        int                   `json:"status,omitempty"`
	Attempts      int                   `json:"attempts,omitempty"`
	HandedOver    bool                  `json:"handedOver,omitempty"`
	RequestBytes  int64                 `json:"requestBytes,omitempty"`
	AnswerBytes   int64                 `json:"answerBytes,omitempty"`
	DurationUS    int64                 `json:"durationUs,omitempty"`
	Replayed      bool                  `json:"replayed,omitempty"`
	Problems      []Problem             `json:"problems,omitempty"`
	// Records is the number of records of the request, SingleCopies the number
	// of those that only one source holds.
	Records      int `json:"records,omitempty"`
	SingleCopies int `json:"singleCopies,omitempty"`
}

// Export turns merged records into lines. Each request with a record has one
// request line; a request that was opened and never closed has outcome unknown.
// Lines are in the order of request IDs, except that the lines for the ends of
// ranges, after the last ID with a record, come last: the end of a range is
// unused, or gaps if the same process has records in a later range. Memory use
// is bounded by the number of ranges and the records of one request.
func Export(ranges []Range, records iter.Seq2[Merged, error]) iter.Seq2[Line, error] {
	return func(yield func(Line, error) bool) {
		x, err := newExporter(ranges, yield)
		if err != nil {
			yield(Line{}, err)
			return
		}
		var group []Merged
		for r, err := range records {
			if err != nil {
				yield(Line{}, err)
				return
			}
			if len(group) > 0 && group[0].RequestID != r.RequestID {
				if !x.request(group) {
					return
				}
				group = group[:0]
			}
			group = append(group, r)
		}
		if len(group) > 0 && !x.request(group) {
			return
		}
		x.finish()
	}
}

// SortRanges returns a copy of ranges in the order of their first ID. It fails if
// a range is empty or two ranges overlap.
func SortRanges(ranges []Range) ([]Range, error) {
	sorted := slices.Clone(ranges)
	slices.SortFunc(sorted, func(a, b Range) int { return cmp.Compare(a.First, b.First) })
	for i, r := range sorted {
		if r.First == 0 || r.Last < r.First {
			return nil, ErrRanges.Errorf("%v to %v of %s is empty", r.First, r.Last, r.VM)
		}
		if i > 0 && sorted[i-1].Last >= r.First {
			return nil, ErrRanges.Errorf("%v to %v of %s overlaps the range before it", r.First, r.Last, r.VM)
		}
	}
	return sorted, nil
}

// process is one process of a VM. A process uses up its ranges in order.
type process struct {
	vm          shmodel.VM
	incarnation uint64
}

// exporter holds the position within the sorted ranges. next holds, per range,
// the lowest request ID that no line covers yet; in a finished range it is above
// the last ID. current is the first range that may still get records.
type exporter struct {
	ranges  []Range
	next    []shmodel.RequestID
	current int
	yield   func(Line, error) bool
}

func newExporter(ranges []Range, yield func(Line, error) bool) (*exporter, error) {
	sorted, err := SortRanges(ranges)
	if err != nil {
		return nil, err
	}
	x := &exporter{ranges: sorted, next: make([]shmodel.RequestID, len(sorted)), yield: yield}
	for i, r := range sorted {
		x.next[i] = r.First
	}
	return x, nil
}

// request yields the gaps below a request and the line of the request.
func (x *exporter) request(group []Merged) bool {
	id := group[0].RequestID
	for x.current < len(x.ranges) && x.ranges[x.current].Last < id {
		x.current++
	}
	line := newRequestLine(group)
	if x.current == len(x.ranges) || id < x.ranges[x.current].First {
		line.Problems = append(line.Problems, Problem{RequestID: id, Kind: OutsideRange, Detail: ReasonOutsideRange})
		return x.yield(line, nil)
	}
	r := x.ranges[x.current]
	if !x.gaps(x.current, id) {
		return false
	}
	if line.VM != r.VM {
		detail := fmt.Sprintf("range belongs to %s", r.VM)
		line.Problems = append(line.Problems, Problem{RequestID: id, Kind: WrongVM, Detail: detail})
	}
	x.next[x.current] = id + 1
	return x.yield(line, nil)
}

// gaps yields a gap line for each uncovered ID of range i below limit.
func (x *exporter) gaps(i int, limit shmodel.RequestID) bool {
	for ; x.next[i] < limit; x.next[i]++ {
		line := Line{Kind: GapLine, RequestID: x.next[i], VM: x.ranges[i].VM, Reason: ReasonGap}
		if !x.yield(line, nil) {
			return false
		}
	}
	return true
}

// finish yields the lines for the uncovered end of each range.
func (x *exporter) finish() {
	lastUsed := make(map[process]int)
	for i, r := range x.ranges {
		if x.next[i] > r.First {
			lastUsed[process{r.VM, r.Incarnation}] = i
		}
	}
	for i, r := range x.ranges {
		if x.next[i] > r.Last {
			continue
		}
		if last, ok := lastUsed[process{r.VM, r.Incarnation}]; ok && i < last {
			if !x.gaps(i, r.Last+1) {
				return
			}
			continue
		}
		line := Line{Kind: UnusedLine, RequestID: x.next[i], LastRequestID: r.Last, VM: r.VM, Reason: ReasonUnused}
		if !x.yield(line, nil) {
			return
		}
	}
}

// requestRecords groups the records of one request by kind.
type requestRecords struct {
	opened      []Merged
	attempts    map[uint32]struct{}
	lastAttempt Record
	handedOver  bool
	closed      []Merged
}

// newRequestLine returns the line of the request with the records of group.
func newRequestLine(group []Merged) Line {
	line := Line{Kind: RequestLine, RequestID: group[0].RequestID, Records: len(group)}
	parts := requestRecords{attempts: make(map[uint32]struct{})}
	for i, r := range group {
		if r.Copies < 2 {
			line.SingleCopies++
		}
		if err := r.Validate(); err != nil {
			line.addProblem(InvalidRecord, err.Error())
		}
		if i > 0 && group[i-1].Identity() == r.Identity() {
			line.addProblem(ContradictoryCopies, fmt.Sprintf("%s of %s", r.Kind, r.VM))
		}
		parts.add(r)
	}
	line.applyOpening(parts)
	line.applyClosing(parts)
	line.checkAttempts(parts)
	return line
}

func (p *requestRecords) add(r Merged) {
	switch r.Kind {
	case Opened:
		p.opened = append(p.opened, r)
	case Attempted:
		p.attempts[r.Attempt] = struct{}{}
		p.lastAttempt = r.Record
	case HandedOver:
		p.handedOver = true
	case Closed, Refused:
		p.closed = append(p.closed, r)
	}
}

func (l *Line) addProblem(kind ProblemKind, detail string) {
	l.Problems = append(l.Problems, Problem{RequestID: l.RequestID, Kind: kind, Detail: detail})
}

// applyOpening fills in the fields of the opening record. A refused request needs
// no opening record.
func (l *Line) applyOpening(parts requestRecords) {
	l.HandedOver = parts.handedOver
	l.Attempts = len(parts.attempts)
	if len(parts.opened) == 0 {
		if len(parts.closed) == 0 || parts.closed[0].Kind != Refused {
			l.addProblem(MissingOpening, "")
		}
		l.copyFields(parts.lastAttempt)
		return
	}
	l.copyFields(parts.opened[0].Record)
	l.OpenedAt = parts.opened[0].At
	for _, r := range parts.opened[1:] {
		if r.VM != parts.opened[0].VM {
			l.addProblem(DuplicateOpening, fmt.Sprintf("by %s and %s", parts.opened[0].VM, r.VM))
		}
	}
}

// applyClosing fills in the fields of the closing record. The outcome is unknown
// if there is none or several contradict each other.
func (l *Line) applyClosing(parts requestRecords) {
	if len(parts.closed) == 0 {
		l.Outcome = shmodel.Unknown
		l.Reason = fmt.Sprintf("%s, %d attempts recorded", ReasonNeverClosed, len(parts.attempts))
		if len(parts.opened) == 0 {
			l.Reason = ReasonNoOpening
		}
		return
	}
	c := parts.closed[0]
	l.copyFields(c.Record)
	l.ClosedAt = c.At
	l.Outcome, l.Reason, l.Status = c.Outcome, c.Reason, c.Status
	l.Refused = c.Kind == Refused
	l.AnswerBytes, l.DurationUS, l.Replayed = c.AnswerBytes, c.DurationUS, c.Replayed
	for _, other := range parts.closed[1:] {
		l.compareClosing(c.Record, other.Record)
	}
}

// compareClosing reports a second closing record and resets the outcome to unknown
// if the two bill differently. Differing copies of the same record were already
// reported as contradictory copies.
func (l *Line) compareClosing(c, other Record) {
	reason := ReasonContradictoryCopies
	if other.Identity() != c.Identity() {
		reason = ReasonSeveralClosings
		detail := fmt.Sprintf("%s by %s is %s, %s by %s is %s", c.Kind, c.VM, c.Outcome, other.Kind, other.VM, other.Outcome)
		kind := DuplicateClosing
		if c.Outcome != other.Outcome {
			kind = ContradictoryClosing
		}
		l.addProblem(kind, detail)
	}
	if billableFields(c) != billableFields(other) {
		l.Outcome, l.Reason, l.Refused, l.Replayed = shmodel.Unknown, reason, false, false
		l.Status, l.AnswerBytes, l.DurationUS = 0, 0, 0
	}
}

// billableFields returns only the fields of a closing record that an invoice
// depends on.
func billableFields(r Record) Record {
	return Record{
		Outcome: r.Outcome, Status: r.Status, AnswerBytes: r.AnswerBytes, DurationUS: r.DurationUS,
		RequestBytes: r.RequestBytes, Replayed: r.Replayed, Service: r.Service, Caller: r.Caller, Team: r.Team,
	}
}

// copyFields copies the fields that every kind of record may have. It keeps the
// earlier value of a field that is empty in r, and always an earlier VM.
func (l *Line) copyFields(r Record) {
	l.VM = cmp.Or(l.VM, r.VM)
	l.Service = cmp.Or(r.Service, l.Service)
	l.Method = cmp.Or(r.Method, l.Method)
	l.Path = cmp.Or(r.Path, l.Path)
	l.Operation = cmp.Or(r.Operation, l.Operation)
	l.Key = cmp.Or(r.Key, l.Key)
	l.Caller = cmp.Or(r.Caller, l.Caller)
	l.Team = cmp.Or(r.Team, l.Team)
	l.FromRegion = cmp.Or(r.FromRegion, l.FromRegion)
	l.ToRegion = cmp.Or(r.ToRegion, l.ToRegion)
	l.BackendServer = cmp.Or(r.BackendServer, l.BackendServer)
	l.RequestBytes = cmp.Or(r.RequestBytes, l.RequestBytes)
}

// checkAttempts reports missing attempt records: fewer than the highest attempt
// number, or than the number of attempts in a closing record.
func (l *Line) checkAttempts(parts requestRecords) {
	var highest uint32
	for n := range parts.attempts {
		highest = max(highest, n)
	}
	for _, r := range parts.closed {
		highest = max(highest, r.Attempts)
	}
	if missing := int(highest) - len(parts.attempts); missing > 0 {
		l.addProblem(MissingAttempt, fmt.Sprintf("%d of %d", missing, highest))
	}
}
