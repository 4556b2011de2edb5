package shload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shload"
	"sequoiahollow/state/shmodel"
)

func fourSlots(shmodel.BackendServer) int { return 4 }

func ExampleSums() {
	var s shload.Sums
	now := time.Now()
	s.Report(now, "e1", shload.InFlight{"b1": 1, "b2": 1})
	s.Report(now, "e2", shload.InFlight{"b1": 2})
	fmt.Println(s.Busy("e1", fourSlots), s.Busy("e2", fourSlots))
	// Output: map[b1:2] map[b1:1]
}

// Guards against requests that are counted after their VM has reported their end or is
// gone, twice, or not at all.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s shload.Sums
		now := time.Now()
		type last struct {
			at       time.Time
			inFlight shload.InFlight
		}
		reported := map[shmodel.VM]last{}
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			vm := shmodel.VM(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "vm"))
			inFlight := shload.InFlight(rapid.MapOf(
				rapid.SampledFrom([]shmodel.BackendServer{"b1", "b2", "b3"}), rapid.IntRange(1, 5)).Draw(t, "inFlight"))
			reported[vm] = last{now, inFlight}
			s.Report(now, vm, inFlight)
			want, total := shload.InFlight{}, shload.InFlight{}
			for other, r := range reported {
				if now.Sub(r.at) > shload.Lifetime {
					continue
				}
				for id, n := range r.inFlight {
					total[id] += n
					if other != vm {
						want[id] += n
					}
				}
			}
			for id := range want {
				if 2*total[id] < fourSlots(id) {
					delete(want, id)
				}
			}
			assert.DeepEqual(t, s.Busy(vm, fourSlots), want)
		}
	})
}
