package main

import (
	"time"

	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/coordination/shslot"
)

// creditsAsked bounds the credits that a VM asks of a region at a time.
const creditsAsked = 8

// A link share is paced so that rate and burst fit into it in any second.
const (
	linkRateShare = 0.9
	linkBurst     = 100 * time.Millisecond
)

// tick lets the table pass time and asks for credits where slots were missing.
func (v *vm) tick() {
	if !v.alive {
		return
	}
	v.table.Apply(v.world.time(), shslot.Tick{})
	for i := range v.world.services {
		v.drain(i)
		if v.wanted[i] {
			v.wanted[i] = false
			v.askCredits(i)
		} else {
			v.returnCredits(i)
		}
	}
}

// askCredits asks the VM with the most spare slots in each other region.
func (v *vm) askCredits(i int) {
	w := v.world
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
		asked, life := w.now, v.life
		w.after(w.region, func() {
			if !best.alive {
				return
			}
			request := shslot.CreditRequested{VM: v.name, Service: w.services[i].name, Count: min(creditsAsked, 1+len(v.waiting[i]))}
			granted, ok := best.table.Apply(w.time(), request)[0].(shslot.CreditGranted)
			w.after(w.region, func() {
				if ok && granted.Count > 0 && life == v.life {
					v.credits[i][best.index] = &held{id: granted.ID, left: granted.Count, until: asked + granted.Duration}
				}
			})
		})
	}
}

func (v *vm) returnCredits(i int) {
	w := v.world
	for j, to := range w.vms {
		c := v.credits[i][j]
		if c == nil {
			continue
		}
		delete(v.credits[i], j)
		w.after(w.region, func() {
			to.table.Apply(w.time(), shslot.CreditReturned{ID: c.id, Count: c.left})
		})
	}
}

// report tells the other VMs about the slots of this one.
func (v *vm) report() {
	if !v.alive {
		return
	}
	w := v.world
	for i, service := range w.services {
		load := v.table.Load(w.time(), service.name)
		r := shrouting.Report{VM: v.name, Place: v.place, Free: load.Free, Usable: load.Usable, At: w.time()}
		if v.claimsIdle {
			r.Free = r.Usable
		}
		w.after(viaLeader+w.reportDelay, func() {
			for _, other := range w.vms {
				if other == v {
					continue
				}
				other.spare[i][v.index] = load.Spare
				if other.region == v.region && v.alive {
					other.books[i].Observe(r)
					other.books[i].SetHealthy(v.name, true)
				}
			}
		})
	}
}

// linkRate is the share of this VM of each link of its region, in bytes/s.
func (v *vm) linkRate() float64 {
	return v.world.linkBits / 8 * linkRateShare * v.world.linkShare / float64(v.world.deployment.vms[v.region])
}

func (v *vm) linkFree(region int) int64 {
	b := v.buckets[region]
	if b == nil {
		b = &bucket{}
		v.buckets[region] = b
	}
	rate := v.linkRate()
	b.tokens = min(rate*linkBurst.Seconds(), b.tokens+rate*(v.world.now-b.at).Seconds())
	b.at = v.world.now
	return int64(b.tokens)
}

func (v *vm) spend(region int, bytes int64) {
	v.linkFree(region)
	v.buckets[region].tokens -= float64(bytes)
	v.world.links[[2]int{v.region, region}] += bytes
}

// sample records headroom: the lowest share of free slots in any region.
func (w *world) sample() {
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
	w.result.sampled(lowest)
}

// sampleLinks records the use of each link over the last second.
func (w *world) sampleLinks() {
	for pair, bytes := range w.links {
		if w.now >= warmUp {
			use := float64(bytes) * 8 / (w.linkBits * w.linkShare)
			w.result.link = max(w.result.link, use)
		}
		w.links[pair] = 0
	}
}
