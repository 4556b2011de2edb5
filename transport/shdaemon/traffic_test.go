package shdaemon

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shpeer"
)

// Guards against control messages that exceed their reserve without a warning,
// and against a warning with each update.
func TestControlTraffic(t *testing.T) {
	var log bytes.Buffer
	c := controlTraffic{region: "a", log: slog.New(slog.NewJSONHandler(&log, nil))}
	regionOf := func(address string) shmodel.Region { return shmodel.Region(address[:1]) }
	links := map[string]shconfig.Link{"ab": {From: "a", To: "b", ControlBitsPerSecond: 1000}}
	now := time.Unix(100, 0)
	c.update(now, map[string]shpeer.Bytes{"b1": {Sent: 50}, "a1": {Sent: 50}}, regionOf)
	for second := range 3 {
		now = now.Add(time.Second)
		sent := uint64(50 + 200*(second+1))
		rates := c.update(now, map[string]shpeer.Bytes{"b1": {Sent: sent}, "a1": {Sent: sent}}, regionOf)
		assert.DeepEqual(t, rates, map[shmodel.Region]float64{"b": 1600})
		c.warnExceeded(now, rates, links)
	}
	assert.Equal(t, strings.Count(log.String(), "exceed the reserve"), 1)
}
