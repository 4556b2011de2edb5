package shdaemon

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

// A killed entry VM must not lose, repeat or misreport a request.
func TestEntryKilledUnderLoad(t *testing.T) {
	d := deploy(t, false)
	d.backends(south, north, victoria)
	stop := d.load(6)
	d.answered(20)
	d.kill(d.vms["south-a-2"])
	d.answered(40)
	stop()
	d.check()
}

// A killed leader, with its part of the account, must not either.
func TestLeaderKilledUnderLoad(t *testing.T) {
	d := deploy(t, false)
	d.backends(south, north, victoria)
	stop := d.load(6)
	d.answered(20)
	l := d.leader("")
	d.kill(l)
	d.answered(40)
	d.start(l)
	d.answered(40)
	stop()
	d.check()
}

// confirmed reports whether a VM takes its configuration for confirmed.
func (d *deployment) confirmed(v *vm) bool {
	response, err := http.Get("http://" + v.settings.OperatorAddress + "/metrics")
	if err != nil {
		return true
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return err != nil || !strings.Contains(string(text), "sequoiahollow_config_confirmed 0")
}

// In a region that is cut off, work that an old state could make unsafe must
// stop, and the rest must go on.
func TestRegionCutOff(t *testing.T) {
	d := deploy(t, true)
	d.backends(south, victoria)
	inside, outside := d.vms["victoria-b-1"], d.vms["south-a-2"]
	d.backend("library", "methodology-library", south, nil)
	eventually(t, "shift to the other region", func() bool {
		return d.history.get(d.only(inside), "methodology-library", time.Second).Outcome == shmodel.Answered
	})
	d.network.hold(around(func(e endpoint) bool { return e.region == victoria }))
	eventually(t, "end of the confirmation", func() bool {
		return !d.confirmed(inside) && !d.confirmed(d.vms["victoria-a-1"])
	})
	a := d.history.get(d.only(inside), records, 2*time.Second)
	assert.Equal(t, a.Outcome, shmodel.Answered, "idempotent work in the region: %s", a.Body)
	a = d.history.do(d.only(inside), d.history.payment("cut off", 500*time.Millisecond))
	assert.Equal(t, a.Outcome, shmodel.NotRun, "once-only work: %s", a.Body)
	a = d.history.get(d.only(inside), "methodology-library", 500*time.Millisecond)
	assert.Equal(t, a.Outcome, shmodel.NotRun, "shift: %s", a.Body)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	edit := shcontrol.ApplyConfig{EditID: "cut off", BaseRevision: 1, Config: d.config}
	_, err := d.operator(d.vms["victoria-a-1"]).Apply(ctx, edit)
	assert.Assert(t, err != nil, "an edit was confirmed without a quorum")

	eventually(t, "once-only work in the other regions", func() bool {
		return d.history.do(d.only(outside), d.history.payment(d.history.token(), time.Second)).Outcome == shmodel.Answered
	})
	revision := d.apply(d.config)
	d.network.hold(nil)
	eventually(t, "later revision in the region", func() bool { return d.inEffect(revision, "victoria-a-1", "victoria-b-1") })
	eventually(t, "once-only work in the region", func() bool {
		return d.history.do(d.only(inside), d.history.payment(d.history.token(), time.Second)).Outcome == shmodel.Answered
	})
	d.check()
}

// A planned stop, also of the leader, must not cut or refuse a request.
func TestPlannedStopUnderLoad(t *testing.T) {
	d := deploy(t, false)
	d.backends(south, north, victoria)
	stop := d.load(6)
	d.answered(20)
	d.stop(d.leader(""))
	d.stop(d.vms["south-a-2"])
	d.answered(20)
	stop()
	for _, s := range d.history.sends {
		if s.err != nil || s.answer.Outcome == shmodel.Unknown || s.answer.Sends > 1 {
			t.Errorf("request cut: %s %s: sends %d, outcome %q, error %v", s.request.Method, s.request.URI, s.answer.Sends, s.answer.Outcome, s.err)
		}
	}
	d.check()
}
