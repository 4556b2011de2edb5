package shcontrol_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)

func pick[T any](t *rapid.T, label string, values ...T) T {
	return rapid.SampledFrom(values).Draw(t, label)
}

func drawConfig(t *rapid.T) shconfig.Config {
	links := map[string]shconfig.Link{}
	for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"ab", "ba", "ac"}), rapid.ID).Draw(t, "links") {
		links[name] = shconfig.Link{
			From:                 shmodel.Region(name[:1]),
			To:                   shmodel.Region(name[1:]),
			CapBitsPerSecond:     pick[int64](t, "cap", 1<<20, 1<<53+1),
			ControlBitsPerSecond: 1 << 10,
		}
	}
	return shconfig.Config{
		Objective: pick(t, "objective", "", shconfig.Latency),
		Regions:   map[shmodel.Region]shconfig.Region{"a": {FailureDomains: pick(t, "domains", nil, []shmodel.FailureDomain{"x"})}},
		Links:     links,
		Limits:    shconfig.Limits{ClaimHours: pick(t, "hours", 0, 1), CrashLimit: pick(t, "crashes", 0, 3)},
	}
}

func drawCommand(t *rapid.T, at time.Time) shcontrol.Command {
	var (
		key     = shmodel.ClaimKey{Service: "s", Key: pick(t, "key", "k1", "k2", "k3")}
		request = shmodel.RequestID(rapid.IntRange(1, 4).Draw(t, "request"))
		attempt = uint32(rapid.IntRange(1, 4).Draw(t, "attempt"))
		digest  = shmodel.Digest{byte(rapid.IntRange(1, 3).Draw(t, "digest"))}
		vm      = pick[shmodel.VM](t, "vm", "v1", "v2")
		flag    = rapid.Bool().Draw(t, "flag")
	)
	return pick[shcontrol.Command](
		t, "command",
		shcontrol.ApplyConfig{
			EditID:       fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "edit")),
			Author:       "ann",
			BaseRevision: rapid.Uint64Range(0, 6).Draw(t, "base"),
			Config:       drawConfig(t),
		},
		shcontrol.OpenClaim{Key: key, Digest: digest, RequestID: request, Attempt: shcontrol.Attempt{
			Number:     attempt,
			VM:         vm,
			DispatchBy: at.In(time.FixedZone("z", 3600)).Add(time.Second),
		}},
		shcontrol.CloseClaim{
			Key: key, RequestID: request, Attempt: attempt,
			Outcome: pick(t, "outcome", shmodel.Answered, shmodel.NotRun, shmodel.Unknown),
			Answer:  shcontrol.Answer{Status: 200, Body: make([]byte, pick(t, "size", 1, 2, 3, 4, 5, shcontrol.MaxRecordedAnswer+1))},
		},
		shcontrol.SettleClaim{Key: key, RequestID: request},
		shcontrol.RequestGrant{VM: vm, From: "a", To: "b", BitsPerSecond: rapid.Int64Range(0, 1<<20).Draw(t, "rate")},
		shcontrol.ExpireGrant{ID: rapid.Uint64Range(1, 5).Draw(t, "grant")},
		shcontrol.ReserveRange{VM: vm, Incarnation: 1, Count: rapid.Uint64Range(0, 9).Draw(t, "count")},
		shcontrol.ReportCrash{BackendServer: "b", Digests: []shmodel.Digest{digest}, Solo: flag, RequestID: request},
		shcontrol.OpenSolo{Digest: digest, RequestID: request, VM: vm, Until: at.Add(time.Minute)},
		shcontrol.CloseSolo{Digest: digest, RequestID: request, Succeeded: flag},
		shcontrol.SetDrain{VM: vm, Draining: flag},
	)
}

func snapshot(t assert.TestingT, s *shcontrol.State) string {
	data, err := s.Snapshot()
	assert.NilError(t, err)
	return string(data)
}

// Guards against replicas that diverge because one was restored from a snapshot
// or received its commands in encoded form.
func TestSnapshotEqualsReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var direct, decoded, restored shcontrol.State
		at := start
		linked := shcontrol.ApplyConfig{EditID: "linked", Config: shconfig.Config{Links: map[string]shconfig.Link{
			"ab": {From: "a", To: "b", CapBitsPerSecond: 1 << 20},
		}}}
		for _, s := range []*shcontrol.State{&direct, &decoded, &restored} {
			s.Apply(at, linked)
		}
		for range rapid.IntRange(1, 25).Draw(t, "commands") {
			at = at.Add(time.Duration(rapid.IntRange(-1, 40).Draw(t, "minutes")) * time.Minute)
			command := drawCommand(t, at)
			data, err := shcontrol.EncodeCommand(command)
			assert.NilError(t, err)
			copied, err := shcontrol.DecodeCommand(data)
			assert.NilError(t, err)

			if rapid.IntRange(0, 2).Draw(t, "restart") == 0 {
				assert.NilError(t, restored.Restore([]byte(snapshot(t, &restored))))
			}
			want := encoded(t, direct.Apply(at.In(time.FixedZone("z", 3600)), command))
			assert.Equal(t, encoded(t, decoded.Apply(at, copied)), want)
			assert.Equal(t, encoded(t, restored.Apply(at, copied)), want)
		}
		assert.Equal(t, snapshot(t, &decoded), snapshot(t, &direct))
		assert.Equal(t, snapshot(t, &restored), snapshot(t, &direct))
	})
}

// encoded returns the JSON form of a result and checks that it is unchanged after
// decoding and encoding.
func encoded(t assert.TestingT, r shcontrol.Result) string {
	data, err := shcontrol.EncodeResult(r)
	assert.NilError(t, err)
	decoded, err := shcontrol.DecodeResult(data)
	assert.NilError(t, err)
	again, err := shcontrol.EncodeResult(decoded)
	assert.NilError(t, err)
	assert.Equal(t, string(again), string(data))
	return string(data)
}

// Guards against a snapshot that is restored only partly.
func TestRestoreIsStrict(t *testing.T) {
	var s shcontrol.State
	s.Apply(start, shcontrol.SetDrain{VM: "v", Draining: true})
	before := snapshot(t, &s)
	assert.ErrorContains(t, s.Restore([]byte(`{"drains":{"vms":{"w":true}},"more":1}`)), "unknown field")
	assert.Equal(t, snapshot(t, &s), before)
}
