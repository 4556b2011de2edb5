// Command shmeasure measures the routing policies in a deterministic
// discrete-event model of both deployments. It prints Markdown. The figures do
// not depend on the speed of the machine.
//
// The model uses shslot and shrouting as they are. Entry VMs, backend servers,
// callers, links and reports are reduced to latencies and counts.
package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"sequoiahollow/coordination/shrouting"
)

// parallelRuns bounds the processor cores that a measurement uses.
const parallelRuns = 4

// result holds the figures of one run after the warm-up.
type result struct {
	latency  *hdrhistogram.Histogram
	headroom *hdrhistogram.Histogram
	// maxLinkUse is the highest use of a link relative to its free share, over 1 s.
	maxLinkUse float64
	answers    int
	late       int
	refusals   int
	// avoidable counts refused requests that a free slot could have served.
	avoidable int
}

func newResult() *result {
	return &result{
		latency:  hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		headroom: hdrhistogram.New(1, 1001, 3),
	}
}

func (r *result) recordAnswer(now, latency, timeout time.Duration) {
	if now < warmUp {
		return
	}
	r.answers++
	if latency > timeout {
		r.late++
	}
	// RecordValue cannot fail: a run is shorter than the range of the histogram.
	_ = r.latency.RecordValue(latency.Microseconds())
}

func (r *result) recordRefusal(now time.Duration, servable bool) {
	if now < warmUp {
		return
	}
	r.refusals++
	if servable {
		r.avoidable++
	}
}

func (r *result) recordHeadroom(free float64) {
	_ = r.headroom.RecordValue(1 + int64(math.Round(free*1000)))
}

func (r *result) milliseconds(quantile float64) float64 {
	return float64(r.latency.ValueAtQuantile(quantile)) / 1000
}

// freeShare returns a quantile of the headroom in percent.
func (r *result) freeShare(quantile float64) float64 {
	return float64(r.headroom.ValueAtQuantile(quantile)-1) / 10
}

var policies = []struct {
	name   string
	create func() shrouting.Policy
}{
	{"objectives", func() shrouting.Policy { return shrouting.Objectives{} }},
	{"round robin", func() shrouting.Policy { return &shrouting.RoundRobin{} }},
	{"least reported", func() shrouting.Policy { return shrouting.LeastReported{} }},
}

func main() {
	seed := flag.Int64("seed", 1, "seed of the random numbers")
	commit := flag.String("commit", "unknown", "commit that is measured, for the heading")
	only := flag.String("scenario", "", "name of the only scenario to run")
	flag.Parse()
	if *only != "" {
		scenarios = slices.DeleteFunc(scenarios, func(s scenario) bool { return s.name != *only })
	}
	fmt.Printf("Commit %s, seed %d, %v after %v of warm-up per row.\n", *commit, *seed, runFor-warmUp, warmUp)
	for _, d := range deployments {
		if err := measure(d, *seed); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// betterFigures lists the figures in which a baseline is better than the policy
// with objectives.
func betterFigures(objectives, baseline *result) string {
	var out []string
	for _, q := range []float64{50, 99, 99.9} {
		if baseline.milliseconds(q) < objectives.milliseconds(q) {
			out = append(out, fmt.Sprintf("p%v", q))
		}
	}
	if baseline.freeShare(5) > objectives.freeShare(5) {
		out = append(out, "free slots")
	}
	if baseline.maxLinkUse < objectives.maxLinkUse {
		out = append(out, "link")
	}
	if baseline.late < objectives.late {
		out = append(out, "late")
	}
	if baseline.refusals < objectives.refusals {
		out = append(out, "refused")
	}
	return strings.Join(out, ", ")
}

// runAll runs each scenario under each policy. The runs share no state, so their
// order does not matter.
func runAll(d deployment, seed int64) []*result {
	out := make([]*result, len(scenarios)*len(policies))
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for k, s := range scenarios {
		for i, p := range policies {
			group.Go(func() error {
				out[len(policies)*k+i] = newSimulation(d, s, p.create, seed).run()
				return nil
			})
		}
	}
	_ = group.Wait()
	return out
}

func measure(d deployment, seed int64) error {
	fmt.Printf("\n### %s, objective %s\n\n", d.name, d.objective)
	fmt.Println("| scenario | policy | p50 ms | p99 ms | p99.9 ms | p99 ratio | free slots, least | free slots, p5 | link, most | answered | late | refused | refused though servable | baseline ahead in |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	runs := runAll(d, seed)
	for k, s := range scenarios {
		objectives := runs[len(policies)*k]
		for i, p := range policies {
			r := runs[len(policies)*k+i]
			if r.answers == 0 {
				return fmt.Errorf("%s, %s, %s: nothing was answered", d.name, s.name, p.name)
			}
			p99 := r.milliseconds(99)
			fmt.Printf("| %s | %s | %.1f | %.1f | %.1f | %.2f | %.0f%% | %.0f%% | %.0f%% | %d | %d | %d | %d | %s |\n",
				s.name, p.name, r.milliseconds(50), p99, r.milliseconds(99.9), p99/objectives.milliseconds(99),
				r.freeShare(0), r.freeShare(5), 100*r.maxLinkUse, r.answers, r.late, r.refusals, r.avoidable, betterFigures(objectives, r))
		}
	}
	return nil
}
