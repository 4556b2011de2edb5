package shreplication

import (
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

// place starts the appends that b still needs. If there is no target for one of
// them, b is added to waiting.
func (m *Machine) place(now time.Time, b *batch) {
	if m.reached(b) {
		m.notify(b, Reached{Batch: b.id})
	}
	if b.complete() {
		m.release(b)
		return
	}
	placed := m.placeCopy(now, b)
	placed = m.placeSyncs(now, b) && placed
	at, waits := slices.BinarySearch(m.waiting, b.id)
	switch {
	case placed && waits:
		m.waiting = slices.Delete(m.waiting, at, at+1)
	case !placed && !waits:
		m.waiting = slices.Insert(m.waiting, at, b.id)
	}
}

// placeCopy sends the copy that a submitter waits for. It reports whether that
// copy is in progress or not needed. A sync in progress does not replace the
// copy, because the sync may be in a distant region.
func (m *Machine) placeCopy(now time.Time, b *batch) bool {
	if b.notified || b.level != Copied {
		return true
	}
	for _, r := range b.replicas {
		if r.place != m.config.Place && r.state == copying {
			return true
		}
	}
	for _, t := range m.order {
		if t.Place == m.config.Place || !m.canSend(now, t, b, m.config.InFlight) {
			continue
		}
		m.send(t, b, false)
		return true
	}
	return false
}

// placeSyncs sends b to targets in two failure domains that sync it. It reports
// whether b is synced or about to be synced in both.
func (m *Machine) placeSyncs(now time.Time, b *batch) bool {
	var domains []shmodel.Place
	for _, r := range b.replicas {
		switch r.state {
		case synced, syncing:
			if !slices.Contains(domains, r.place) {
				domains = append(domains, r.place)
			}
		case copying:
			if t := m.targets[r.vm]; t != nil && t.Disk {
				// The sync starts when the copy has arrived.
				domains = append(domains, r.place)
			}
		}
	}
	limit := m.config.InFlight
	if b.notified || b.level != Durable {
		limit = max(1, limit/2)
	}
	for _, t := range m.order {
		if len(domains) >= 2 {
			return true
		}
		if !t.Disk || slices.Contains(domains, t.Place) || !m.canSend(now, t, b, limit) {
			continue
		}
		m.send(t, b, true)
		domains = append(domains, t.Place)
	}
	return len(domains) >= 2
}

// canSend reports whether b may be sent to t now. limit bounds the appends in
// progress to t.
func (m *Machine) canSend(now time.Time, t *target, b *batch, limit int) bool {
	if !t.usable(now) || t.inFlight >= limit {
		return false
	}
	r := b.replica(t.VM)
	if r == nil {
		return true
	}
	if r.state == refused {
		return !now.Before(r.retryAt)
	}
	return r.state == none || r.state == copied
}

func (m *Machine) send(t *target, b *batch, sync bool) {
	r := b.replica(t.VM)
	if r == nil {
		b.replicas = append(b.replicas, replica{vm: t.VM})
		r = &b.replicas[len(b.replicas)-1]
	}
	held := r.state == copied
	r.place, r.wasCopied, r.state = t.Place, held, copying
	if sync {
		r.state = syncing
	}
	t.inFlight++
	m.effects = append(m.effects, Append{
		Batch: b.id, Target: t.VM, Sync: sync, Held: held,
		Timeout: m.config.AppendTimeout + 4*t.Distance,
	})
}

// placeWaiting tries to place waiting batches, in round-robin order, so that
// batches for which no second failure domain is available do not delay others.
func (m *Machine) placeWaiting(now time.Time) {
	available := slices.ContainsFunc(m.order, func(t *target) bool {
		return t.usable(now) && t.inFlight < max(1, m.config.InFlight/2)
	})
	if !available {
		return
	}
	at, _ := slices.BinarySearch(m.waiting, m.nextScan)
	scan := slices.Concat(m.waiting[at:], m.waiting[:at])
	scan = scan[:min(len(scan), maxWaitingScan)]
	for _, id := range scan {
		m.place(now, m.batches[id])
	}
	if len(scan) > 0 {
		m.nextScan = scan[len(scan)-1] + 1
	}
}

// maxWaitingScan bounds the waiting batches that one event may place, so that
// the cost of an event does not grow with the backlog.
const maxWaitingScan = 128
