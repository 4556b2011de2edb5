package main

import (
	"time"

	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/coordination/shslot"
)

// maxCreditRequest bounds the credits in one request for credits.
const maxCreditRequest = 8

// Traffic on a link is limited so that the rate and a burst together stay below
// the share of the VM in any second.
const (
	linkRateShare = 0.9
	linkBurst     = 100 * time.Millisecond
)

// tick advances the time of the slot table, requests credits for services that
// lacked slots and returns those of other services.
func (v *vm) tick() {
	if !v.alive {
		return
	}
	v.table.Apply(v.sim.time(), shslot.Tick{})
	for i := range v.sim.services {
		v.serveQueued(i)
		if v.creditsWanted[i] {
			v.creditsWanted[i] = false
			v.requestCredits(i)
		} else {
			v.returnCredits(i)
		}
	}
}

// requestCredits requests credits from the VM with the most spare slots in each
// other region.
func (v *vm) requestCredits(i int) {
	w := v.sim
	for region := range w.callers {
		var best *vm
		for j, other := range w.vms {
			if other.region == region && region != v.region && other.alive &&
				(best == nil || v.spare[i][j] > v.spare[i][best.index]) {
				best = other
			}
		}
		if best == nil {
			continue
		}
		if c := v.credits[i][best.index]; c != nil && c.left > 0 && w.now < c.until {
			continue
		}
		asked, incarnation := w.now, v.incarnation
		w.after(w.regionLatency, func() {
			if !best.alive {
				return
			}
			request := shslot.CreditRequested{VM: v.name, Service: w.services[i].name, Count: min(maxCreditRequest, 1+len(v.waiting[i]))}
			granted, ok := best.table.Apply(w.time(), request)[0].(shslot.CreditGranted)
			w.after(w.regionLatency, func() {
				if ok && granted.Count > 0 && incarnation == v.incarnation {
					v.credits[i][best.index] = &heldCredits{id: granted.ID, left: granted.Count, until: asked + granted.Duration}
				}
			})
		})
	}
}

func (v *vm) returnCredits(i int) {
	w := v.sim
	for j, to := range w.vms {
		c := v.credits[i][j]
		if c == nil {
			continue
		}
		delete(v.credits[i], j)
		w.after(w.regionLatency, func() {
			to.table.Apply(w.time(), shslot.CreditReturned{ID: c.id, Count: c.left})
		})
	}
}

// report reports the slots of this VM to the other VMs.
func (v *vm) report() {
	if !v.alive {
		return
	}
	w := v.sim
	for i, service := range w.services {
		load := v.table.Load(w.time(), service.name)
		r := shrouting.Report{VM: v.name, Place: v.place, Free: load.Free, Usable: load.Usable, At: w.time()}
		if v.reportsIdle {
			r.Free = r.Usable
		}
		w.after(reportLatency+w.reportDelay, func() {
			for _, other := range w.vms {
				if other == v {
					continue
				}
				other.spare[i][v.index] = load.Spare
				if other.region == v.region && v.alive {
					other.trackers[i].Observe(r)
					other.trackers[i].SetHealthy(v.name, true)
				}
			}
		})
	}
}

// linkRate returns the share that this VM has of each link of its region, in
// bytes per second.
func (v *vm) linkRate() float64 {
	return v.sim.linkBits / 8 * linkRateShare * v.sim.linkShare / float64(v.sim.deployment.vms[v.region])
}

func (v *vm) linkFree(region int) int64 {
	b := v.buckets[region]
	if b == nil {
		b = &bucket{}
		v.buckets[region] = b
	}
	rate := v.linkRate()
	b.tokens = min(rate*linkBurst.Seconds(), b.tokens+rate*(v.sim.now-b.at).Seconds())
	b.at = v.sim.now
	return int64(b.tokens)
}

func (v *vm) useLink(region int, bytes int64) {
	v.linkFree(region)
	v.buckets[region].tokens -= float64(bytes)
	v.sim.links[[2]int{v.region, region}] += bytes
}

// sample records the headroom, which is the lowest share of free slots of any
// region.
func (w *simulation) sample() {
	if w.now < warmUp {
		return
	}
	lowest := 1.0
	for region := range w.callers {
		slots, occupied := 0, 0
		for _, v := range w.vms {
			if v.region != region || !v.alive {
				continue
			}
			for _, service := range w.services {
				load := v.table.Load(w.time(), service.name)
				slots += load.Slots
				occupied += load.Occupied
			}
		}
		if slots > 0 {
			lowest = min(lowest, 1-float64(occupied)/float64(slots))
		}
	}
	w.result.recordHeadroom(lowest)
}

// sampleLinks records the highest use of a link over the last second.
func (w *simulation) sampleLinks() {
	for pair, bytes := range w.links {
		if w.now >= warmUp {
			use := float64(bytes) * 8 / (w.linkBits * w.linkShare)
			w.result.maxLinkUse = max(w.result.maxLinkUse, use)
		}
		w.links[pair] = 0
	}
}
