package shdaemon

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shview"
)

// warnInterval is the minimum time between two warnings for one link.
const warnInterval = time.Minute

// controlTraffic measures the control and account messages that this VM sends
// to other regions. Nothing limits their rate, so a reserve of a link that is
// too small is detected only here. All VMs of a region share the reserve of a
// link.
type controlTraffic struct {
	region shmodel.Region
	log    *slog.Logger

	lastUpdate  time.Time
	lastSent    map[string]uint64
	lastWarning map[shmodel.Region]time.Time
}

// update takes the byte counts by peer address and returns the rate to each
// other region since the last update, in bits per second.
func (t *controlTraffic) update(now time.Time, counts map[string]shpeer.Bytes, regionOf func(string) shmodel.Region) map[shmodel.Region]float64 {
	rates := map[shmodel.Region]float64{}
	seconds := now.Sub(t.lastUpdate).Seconds()
	sent := make(map[string]uint64, len(counts))
	for address, bytes := range counts {
		sent[address] = bytes.Sent
		region := regionOf(address)
		if region == "" || region == t.region || t.lastSent == nil || seconds <= 0 {
			continue
		}
		rates[region] += float64(bytes.Sent-min(t.lastSent[address], bytes.Sent)) * 8 / seconds
	}
	t.lastUpdate = now
	t.lastSent = sent
	return rates
}

// warnExceeded logs a warning, at most once per warnInterval, for each link
// whose reserve this VM alone exceeds.
func (t *controlTraffic) warnExceeded(now time.Time, rates map[shmodel.Region]float64, links map[string]shconfig.Link) {
	for _, l := range links {
		rate := rates[l.To]
		if l.From != t.region || rate <= float64(l.ControlBitsPerSecond) || now.Sub(t.lastWarning[l.To]) < warnInterval {
			continue
		}
		if t.lastWarning == nil {
			t.lastWarning = map[shmodel.Region]time.Time{}
		}
		t.lastWarning[l.To] = now
		t.log.Warn("control and account messages exceed the reserve of the link",
			"to", l.To, "bitsPerSecond", int64(rate), "controlBitsPerSecond", l.ControlBitsPerSecond)
	}
}

// writeTrafficMetrics updates the gauges of control traffic, and warns of links
// whose reserve is exceeded.
func (d *daemon) writeTrafficMetrics(set *metrics.Set) {
	now := time.Now()
	counts := d.traffic.Snapshot()
	for address, bytes := range counts {
		labels := fmt.Sprintf("{peer=%q}", address)
		set.GetOrCreateGauge("sequoiahollow_peer_sent_bytes"+labels, nil).Set(float64(bytes.Sent))
		set.GetOrCreateGauge("sequoiahollow_peer_received_bytes"+labels, nil).Set(float64(bytes.Received))
	}
	v := d.syncer.View()
	rates := d.controlTraffic.update(now, counts, d.regionOf(v))
	for region, rate := range rates {
		set.GetOrCreateGauge(fmt.Sprintf("sequoiahollow_link_control_bits_per_second{to=%q}", region), nil).Set(rate)
	}
	if v.Ready() {
		d.controlTraffic.warnExceeded(now, rates, v.Config.Config.Links)
	}
}

// regionOf returns a function from peer address to region.
func (d *daemon) regionOf(v *shview.View) func(string) shmodel.Region {
	regions := map[string]shmodel.Region{}
	for _, p := range d.settings.Peers {
		regions[p.PeerAddress] = p.Region
	}
	for _, h := range v.Entries {
		regions[h.PeerAddress] = h.Place.Region
	}
	return func(address string) shmodel.Region { return regions[address] }
}
