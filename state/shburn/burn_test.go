package shburn

import (
	"encoding/json"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	level  = shconfig.ServiceLevel{GoodShare: 0.99, LatencyMS: 100}
	levels = map[shmodel.Service]shconfig.ServiceLevel{"deposits": level, "kiln-board": level}
)

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 1e-9, "%v is not %v", got, want)
}

// Guards against a bad request that counts as good or under the wrong cause.
func TestCauseOf(t *testing.T) {
	tests := map[Cause]Result{
		Good:           {Outcome: shmodel.Answered, Status: 404, Duration: 100 * time.Millisecond},
		Slow:           {Outcome: shmodel.Answered, Status: 200, Duration: 101 * time.Millisecond},
		BackendFailure: {Outcome: shmodel.Answered, Status: 500},
		Refused:        {Outcome: shmodel.NotRun},
		LinkCap:        {Outcome: shmodel.NotRun, LinkCap: true},
		Unknown:        {},
	}
	for cause, result := range tests {
		assert.Equal(t, CauseOf(result, level), cause)
	}
}

// Guards against counts that leave a window too early or too late, or that
// reappear when the ring reuses their bucket.
func TestWindows(t *testing.T) {
	tests := []struct {
		age                     time.Duration
		five, thirty, hour, six uint64
		month                   uint64
	}{
		{0, 1, 1, 1, 1, 1},
		{4 * time.Minute, 1, 1, 1, 1, 1},
		{6 * time.Minute, 0, 1, 1, 1, 1},
		{31 * time.Minute, 0, 0, 1, 1, 1},
		{61 * time.Minute, 0, 0, 0, 1, 1},
		{6*time.Hour + time.Minute, 0, 0, 0, 0, 1},
		{12 * time.Hour, 0, 0, 0, 0, 1},
		{29 * 24 * time.Hour, 0, 0, 0, 0, 1},
		{31 * 24 * time.Hour, 0, 0, 0, 0, 0},
		{62 * 24 * time.Hour, 0, 0, 0, 0, 0},
	}
	for _, test := range tests {
		for _, busy := range []bool{false, true} {
			r := NewRecorder("vm1", start)
			r.Observe(start, "deposits", "vermont", Slow)
			if busy {
				r.Observe(start.Add(test.age), "deposits", "vermont", Good)
			}
			w := r.Report(start.Add(test.age)).Series[0].Windows
			got := []uint64{w.FiveMinutes.Slow, w.ThirtyMinutes.Slow, w.OneHour.Slow, w.SixHours.Slow, w.ThirtyDays.Slow}
			assert.DeepEqual(t, got, []uint64{test.five, test.thirty, test.hour, test.six, test.month})
		}
	}
}

// Guards against requests that are not counted after the clock was set back.
func TestClockSetBack(t *testing.T) {
	r := NewRecorder("vm1", start)
	r.Observe(start, "deposits", "vermont", Good)
	r.Observe(start.Add(-time.Minute), "deposits", "vermont", Slow)
	r.Observe(start.Add(-100*24*time.Hour), "deposits", "vermont", Refused)
	w := r.Report(start).Series[0].Windows
	assert.Equal(t, w.FiveMinutes, Counts{Good: 1, Slow: 1, Refused: 1})
	assert.Equal(t, w.ThirtyDays, Counts{Good: 1, Slow: 1, Refused: 1})
}

// Guards against counts that are lost when requests end at the same time.
func TestConcurrentObservations(t *testing.T) {
	r := NewRecorder("vm1", start)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for i := range 1000 {
				r.Observe(start.Add(time.Duration(i)*time.Second), "deposits", "vermont", Cause(i%int(causes)))
			}
		})
	}
	wait.Wait()
	w := r.Report(start.Add(1000 * time.Second)).Series[0].Windows
	assert.Equal(t, w.OneHour.Good+w.OneHour.Bad(), uint64(8000))
	assert.Equal(t, w.OneHour.LinkCap, uint64(8*166))
}

func observed(vm shmodel.VM, region shmodel.Region, good, bad int) DaemonReport {
	r := NewRecorder(vm, start)
	for range good {
		r.Observe(start, "deposits", region, Good)
	}
	for range bad {
		r.Observe(start, "deposits", region, Refused)
	}
	return r.Report(start)
}

// Guards against an unreachable daemon whose requests count as good, and against
// wrong burn rates, error budgets and worst regions.
func TestMerge(t *testing.T) {
	a, b := observed("vm1", "vermont", 90, 10), observed("vm2", "connecticut", 99, 1)
	report := Merge(start, []shmodel.VM{"vm3", "vm1", "vm2"}, []DaemonReport{a, b, a}, levels)
	assert.Assert(t, !report.Complete)
	assert.DeepEqual(t, report.Missing, []shmodel.VM{"vm3"})
	deposits := report.Services[0]
	assert.Equal(t, deposits.WorstRegion, shmodel.Region("vermont"))
	assert.Equal(t, deposits.Total.Windows.OneHour, Counts{Good: 189, Refused: 11})
	assertNear(t, deposits.Total.Burn.OneHour, 5.5)
	assertNear(t, *deposits.Total.BudgetLeft, -4.5)
	assertNear(t, deposits.Regions[1].Burn.FiveMinutes, 10)
	assert.Assert(t, deposits.Regions[1].Burn.Slow && !deposits.Regions[1].Burn.Fast)
	kiln := report.Services[1]
	assertNear(t, kiln.Total.Burn.OneHour, 0)
	assertNear(t, *kiln.Total.BudgetLeft, 1)
	assert.Equal(t, kiln.WorstRegion, shmodel.Region(""))
	assert.Assert(t, Merge(start, []shmodel.VM{"vm1"}, []DaemonReport{a}, nil).Complete)
}

// Guards against values that differ between text, JSON and metrics, or that JSON
// cannot represent, such as infinity.
func TestRenderings(t *testing.T) {
	strict := map[shmodel.Service]shconfig.ServiceLevel{"deposits": {GoodShare: 1}}
	report := Merge(start, []shmodel.VM{"vm1", "vm2"}, []DaemonReport{observed("vm1", "vermont", 1, 1)}, strict)
	encoded, err := json.Marshal(report)
	assert.NilError(t, err)
	var decoded Report
	assert.NilError(t, json.Unmarshal(encoded, &decoded))
	assertNear(t, decoded.Services[0].Regions[0].Burn.OneHour, 0.5/minBadShare)

	found := make(map[string]float64)
	report.Metrics(func(m Metric) { found[m.Name+" "+string(m.Region)+" "+m.Window+" "+m.Cause] = m.Value })
	assertNear(t, found["burn_missing_daemons   "], 1)
	assertNear(t, found["burn_requests vermont 1h refused"], 1)
	assertNear(t, found["burn_rate  1h "], 0.5/minBadShare)

	var text strings.Builder
	assert.NilError(t, report.WriteText(&text))
	for _, part := range []string{"missing: vm2", "worst fast burn", "1 of 2", "500000.00"} {
		assert.Assert(t, strings.Contains(text.String(), part), text.String())
	}
}

func BenchmarkObserve(b *testing.B) {
	r := NewRecorder("vm1", start)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			r.Observe(start, "deposits", "vermont", Good)
		}
	})
}
