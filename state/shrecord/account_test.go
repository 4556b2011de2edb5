package shrecord

import (
	"errors"
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
)

const seeds = 200

var start = time.Unix(1_700_000_000, 0)

func record(id shmodel.RequestID, kind Kind, attempt uint32) Record {
	r := Record{
		RequestID: id, Kind: kind, Attempt: attempt, VM: "vm1", At: start.Add(time.Duration(id) * time.Second),
		Service: "proof-viewing", Caller: "10.0.0.1",
	}
	switch kind {
	case Closed:
		r.Outcome, r.Status, r.AnswerBytes, r.Attempts = shmodel.Answered, 200, 100, 1
	case Refused:
		r.Outcome, r.Reason = shmodel.NotRun, "overload"
	}
	return r
}

func source(records []Record) iter.Seq2[Record, error] {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return a.Identity().Compare(b.Identity()) })
	return func(yield func(Record, error) bool) {
		for _, r := range sorted {
			if !yield(r, nil) {
				return
			}
		}
	}
}

func collect[T any](t *testing.T, sequence iter.Seq2[T, error]) []T {
	t.Helper()
	var all []T
	for v, err := range sequence {
		assert.NilError(t, err)
		all = append(all, v)
	}
	return all
}

func sequence[T any](values []T) iter.Seq2[T, error] {
	return func(yield func(T, error) bool) {
		for _, v := range values {
			if !yield(v, nil) {
				return
			}
		}
	}
}

// Guards against records in the account that cannot be billed.
func TestValidate(t *testing.T) {
	for _, kind := range []Kind{Opened, HandedOver, Closed, Refused} {
		assert.NilError(t, record(1, kind, 0).Validate())
	}
	assert.NilError(t, record(1, Attempted, 1).Validate())
	tests := map[string]func(*Record){
		"request ID":        func(r *Record) { r.RequestID = 0 },
		"kind":              func(r *Record) { r.Kind = "done" },
		"VM":                func(r *Record) { r.VM = "" },
		"time":              func(r *Record) { r.At = time.Time{} },
		"year":              func(r *Record) { r.At = time.Date(10_000, 1, 1, 0, 0, 0, 0, time.UTC) },
		"negative size":     func(r *Record) { r.AnswerBytes = -1 },
		"attempt":           func(r *Record) { r.Attempt = 1 },
		"outcome":           func(r *Record) { r.Outcome = "" },
		"reason of unknown": func(r *Record) { r.Outcome = shmodel.Unknown },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			r := record(1, Closed, 0)
			change(&r)
			assert.Assert(t, errors.Is(r.Validate(), ErrInvalid))
		})
	}
}

// Guards against copies that are counted twice, and a merge whose result
// depends on the order of the stores.
func TestMerge(t *testing.T) {
	a := []Record{record(1, Opened, 0), record(1, Closed, 0), record(2, Opened, 0)}
	b := []Record{record(1, Closed, 0), record(2, Opened, 0), record(2, Attempted, 1)}
	b[0].At = b[0].At.In(time.FixedZone("", 3600))
	b[1].Caller = "10.0.0.2"
	merged := collect(t, Merge(source(a), source(b), source(nil)))
	assert.DeepEqual(t, merged, collect(t, Merge(source(b), source(a))))
	var text []string
	for _, m := range merged {
		text = append(text, fmt.Sprintf("%d %s %d %s", uint64(m.RequestID), m.Kind, m.Copies, m.Caller))
	}
	assert.DeepEqual(t, text, []string{
		"1 opened 1 10.0.0.1", "1 closed 2 10.0.0.1",
		"2 opened 1 10.0.0.1", "2 opened 1 10.0.0.2", "2 attempted 1 10.0.0.1",
	})
	for _, err := range Merge(sequence([]Record{record(2, Opened, 0), record(1, Opened, 0)})) {
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrUnsorted))
			return
		}
	}
	t.Fatal("unsorted input was accepted")
}

// Guards against a request without a line, a line with an outcome that no record
// states, and a bill that rests on one of two contradictory closing records.
func TestExportOfOneRequest(t *testing.T) {
	change := func(r Record, f func(*Record)) Record {
		f(&r)
		return r
	}
	opened, attempt, closed, refused := record(1, Opened, 0), record(1, Attempted, 1), record(1, Closed, 0), record(1, Refused, 0)
	tests := []struct {
		name    string
		records []Record
		outcome shmodel.Outcome
		reason  string
		problem ProblemKind
	}{
		{"answered", []Record{opened, attempt, closed}, shmodel.Answered, "", ""},
		{"refused", []Record{refused}, shmodel.NotRun, "overload", ""},
		{"opened, then refused", []Record{opened, refused}, shmodel.NotRun, "overload", ""},
		{"never closed", []Record{opened, attempt}, shmodel.Unknown, ReasonNeverClosed + ", 1 attempts recorded", ""},
		{"no opening record", []Record{attempt, closed}, shmodel.Answered, "", MissingOpening},
		{"attempt only", []Record{attempt}, shmodel.Unknown, ReasonNoOpening, MissingOpening},
		{"lost last attempt", []Record{opened, closed}, shmodel.Answered, "", MissingAttempt},
		{"lost first attempt", []Record{opened, record(1, Attempted, 2), closed}, shmodel.Answered, "", MissingAttempt},
		{
			"closed twice alike",
			[]Record{opened, attempt, closed, change(closed, func(r *Record) { r.VM = "vm2" })},
			shmodel.Answered, "", DuplicateClosing,
		},
		{
			"closed twice, other size",
			[]Record{opened, attempt, closed, change(closed, func(r *Record) { r.VM, r.AnswerBytes = "vm2", 9 })},
			shmodel.Unknown, ReasonSeveralClosings, DuplicateClosing,
		},
		{"closed and refused", []Record{opened, attempt, closed, refused}, shmodel.Unknown, ReasonSeveralClosings, ContradictoryClosing},
		{
			"copies differ",
			[]Record{opened, attempt, closed, change(closed, func(r *Record) { r.Status = 500 })},
			shmodel.Unknown, ReasonContradictoryCopies, ContradictoryCopies,
		},
		{"opened twice", []Record{opened, change(opened, func(r *Record) { r.VM = "vm2" }), attempt, closed}, shmodel.Answered, "", DuplicateOpening},
		{"other VM", []Record{change(opened, func(r *Record) { r.VM = "vm2" }), attempt, closed}, shmodel.Answered, "", WrongVM},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lines := collect(t, Export([]Range{{First: 1, Last: 1, VM: "vm1"}}, Merge(source(test.records), source(test.records))))
			assert.Equal(t, len(lines), 1)
			assert.Equal(t, lines[0].Outcome, test.outcome)
			assert.Equal(t, lines[0].Reason, test.reason)
			if test.problem == "" {
				assert.Equal(t, len(lines[0].Problems), 0)
				return
			}
			assert.Equal(t, lines[0].Problems[0].Kind, test.problem)
		})
	}
}

// Guards against gaps that are reported as unused request IDs.
func TestExportOfRanges(t *testing.T) {
	ranges := []Range{
		{First: 21, Last: 30, VM: "vm1", Incarnation: 1},
		{First: 1, Last: 5, VM: "vm1", Incarnation: 1},
		{First: 6, Last: 10, VM: "vm2", Incarnation: 1},
		{First: 31, Last: 40, VM: "vm1", Incarnation: 2},
	}
	records := []Record{record(2, Refused, 0), record(3, Refused, 0), record(15, Refused, 0), record(22, Refused, 0)}
	var text []string
	for _, l := range collect(t, Export(ranges, Merge(source(records)))) {
		text = append(text, fmt.Sprint(l.Kind, " ", uint64(l.RequestID), " ", uint64(l.LastRequestID), " ", l.VM))
	}
	assert.DeepEqual(t, text, []string{
		"gap 1 0 vm1", "request 2 0 vm1", "request 3 0 vm1", "request 15 0 vm1", "gap 21 0 vm1", "request 22 0 vm1",
		"gap 4 0 vm1", "gap 5 0 vm1", "unused 6 10 vm2", "unused 23 30 vm1", "unused 31 40 vm1",
	})
	report, err := Verify(ranges, Merge(source(records)))
	assert.NilError(t, err)
	assert.Assert(t, report.Complete && !report.Clean)
	assert.Equal(t, report.Gaps, uint64(4))
	assert.Equal(t, report.ProblemCounts[OutsideRange], uint64(1))
	_, err = Verify(append(ranges, Range{First: 5, Last: 6}), Merge())
	assert.Assert(t, errors.Is(err, ErrRanges))
}

// account is a random account whose records are each on two of three stores.
type account struct {
	ranges []Range
	used   shmodel.RequestID
	stores [3][]Record
}

func randomAccount(random *rand.Rand) *account {
	a := &account{ranges: []Range{{First: 1, Last: 20, VM: "vm1"}, {First: 21, Last: 40, VM: "vm1"}}}
	a.used = shmodel.RequestID(15 + random.IntN(25))
	for id := shmodel.RequestID(1); id <= a.used; id++ {
		if random.IntN(4) == 0 {
			a.add(random, record(id, Refused, 0))
			continue
		}
		a.add(random, record(id, Opened, 0))
		a.add(random, record(id, Attempted, 1))
		a.add(random, record(id, Closed, 0))
	}
	return a
}

// add puts a record into two of the stores.
func (a *account) add(random *rand.Rand, r Record) {
	without := random.IntN(len(a.stores))
	for i := range a.stores {
		if i != without {
			a.stores[i] = append(a.stores[i], r)
		}
	}
}

func (a *account) remove(match func(Record) bool) {
	for i := range a.stores {
		a.stores[i] = slices.DeleteFunc(a.stores[i], match)
	}
}

func (a *account) merged() iter.Seq2[Merged, error] {
	return Merge(source(a.stores[0]), source(a.stores[1]), source(a.stores[2]))
}

// Guards against lost and duplicate records that verification does not report,
// and against reported problems in an intact account.
func TestVerifyFindsInjectedFaults(t *testing.T) {
	faults := map[string]func(a *account, id shmodel.RequestID) func(Report) bool{
		"none": func(*account, shmodel.RequestID) func(Report) bool {
			return func(r Report) bool { return r.Clean && r.SingleCopies == 0 }
		},
		"one store lost": func(a *account, _ shmodel.RequestID) func(Report) bool {
			a.stores[1] = nil
			return func(r Report) bool { return r.Clean && r.SingleCopies > 0 }
		},
		"all records of a request lost": func(a *account, id shmodel.RequestID) func(Report) bool {
			a.remove(func(r Record) bool { return r.RequestID == id })
			return func(r Report) bool { return r.Complete && !r.Clean && r.Gaps == 1 }
		},
		"closing record lost": func(a *account, id shmodel.RequestID) func(Report) bool {
			a.stores[0] = append(a.stores[0], record(id, Opened, 0))
			a.remove(func(r Record) bool { return r.RequestID == id && (r.Kind == Closed || r.Kind == Refused) })
			return func(r Report) bool { return r.Complete && r.NeverClosed == 1 }
		},
		"second closing record": func(a *account, id shmodel.RequestID) func(Report) bool {
			r := record(id, Closed, 0)
			r.VM = "vm2"
			a.stores[0] = append(a.stores[0], r)
			return func(r Report) bool {
				return !r.Clean && r.ProblemCounts[DuplicateClosing]+r.ProblemCounts[ContradictoryClosing] == 1 &&
					r.Problems[0].RequestID == id
			}
		},
		"attempt record lost": func(a *account, id shmodel.RequestID) func(Report) bool {
			a.stores[0] = append(a.stores[0], record(id, Attempted, 3))
			return func(r Report) bool { return !r.Clean && r.ProblemCounts[MissingAttempt] == 1 }
		},
		"number outside all ranges": func(a *account, _ shmodel.RequestID) func(Report) bool {
			a.stores[0] = append(a.stores[0], record(999, Refused, 0))
			return func(r Report) bool { return r.Complete && !r.Clean && r.ProblemCounts[OutsideRange] == 1 }
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				random := rand.New(rand.NewPCG(seed, 1))
				a := randomAccount(random)
				found := inject(a, 1+shmodel.RequestID(random.IntN(int(a.used)-1)))
				report, err := Verify(a.ranges, a.merged())
				assert.NilError(t, err)
				assert.Assert(t, found(report), "seed %d: %+v", seed, report)
				assert.Equal(t, report.Assigned, uint64(a.used)+report.ProblemCounts[OutsideRange], "seed %d", seed)
			}
		})
	}
}

// Guards against an export file in which a line was lost or repeated.
func TestVerifyLinesFindsLostAndRepeatedLines(t *testing.T) {
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 2))
		a := randomAccount(random)
		lines := collect(t, Export(a.ranges, a.merged()))
		at := random.IntN(len(lines))
		lost, err := VerifyLines(a.ranges, sequence(slices.Delete(slices.Clone(lines), at, at+1)))
		assert.NilError(t, err)
		assert.Assert(t, !lost.Complete && lost.ProblemCounts[NotCounted] == 1, "seed %d", seed)
		twice, err := VerifyLines(a.ranges, sequence(slices.Insert(slices.Clone(lines), at, lines[at])))
		assert.NilError(t, err)
		assert.Assert(t, !twice.Complete && twice.ProblemCounts[CountedTwice] == 1, "seed %d", seed)
	}
}
