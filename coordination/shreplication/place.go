package shreplication

import (
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

// place starts what b still needs. If a target is missing, b waits.
func (m *Machine) place(now time.Time, b *batch) {
	if m.reached(b) {
		m.settle(b, Reached{Batch: b.id})
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

// placeCopy sends the copy that a submitter waits for. It reports whether it
// is on its way. A sync in progress does not replace it: the sync may be that
// of a distant region.
func (m *Machine) placeCopy(now time.Time, b *batch) bool {
	if b.settled || b.level != Copied {
		return true
	}
	for _, h := range b.holders {
		if h.domain != m.config.Place && h.state == copying {
			return true
		}
	}
	for _, t := range m.order {
		if t.Place == m.config.Place || !m.free(now, t, b, m.config.InFlight) {
			continue
		}
		m.send(t, b, false)
		return true
	}
	return false
}

// placeSyncs sends b to be synced until two failure domains have synced it or
// are about to. It reports whether they do.
func (m *Machine) placeSyncs(now time.Time, b *batch) bool {
	var domains []shmodel.Place
	for _, h := range b.holders {
		switch h.state {
		case synced, syncing:
			if !slices.Contains(domains, h.domain) {
				domains = append(domains, h.domain)
			}
		case copying:
			if t := m.targets[h.vm]; t != nil && t.Disk {
				// The sync follows when the copy has arrived.
				domains = append(domains, h.domain)
			}
		}
	}
	limit := m.config.InFlight
	if b.settled || b.level != Durable {
		limit = max(1, limit/2)
	}
	for _, t := range m.order {
		if len(domains) >= 2 {
			return true
		}
		if !t.Disk || slices.Contains(domains, t.Place) || !m.free(now, t, b, limit) {
			continue
		}
		m.send(t, b, true)
		domains = append(domains, t.Place)
	}
	return len(domains) >= 2
}

// free reports whether b may be sent to t now.
func (m *Machine) free(now time.Time, t *target, b *batch, limit int) bool {
	if !t.usable(now) || t.inFlight >= limit {
		return false
	}
	h := b.holder(t.VM)
	if h == nil {
		return true
	}
	if h.state == refused {
		return !now.Before(h.retryAt)
	}
	return h.state == none || h.state == copied
}

func (m *Machine) send(t *target, b *batch, sync bool) {
	h := b.holder(t.VM)
	if h == nil {
		b.holders = append(b.holders, holder{vm: t.VM})
		h = &b.holders[len(b.holders)-1]
	}
	held := h.state == copied
	h.domain, h.wasCopied, h.state = t.Place, held, copying
	if sync {
		h.state = syncing
	}
	t.inFlight++
	m.effects = append(m.effects, Append{
		Batch: b.id, Target: t.VM, Sync: sync, Held: held,
		Timeout: m.config.Timeout + 4*t.Distance,
	})
}

// placeWaiting tries waiting batches again, in turn: those that wait for a
// failure domain that is gone must not hold up the others.
func (m *Machine) placeWaiting(now time.Time) {
	free := slices.ContainsFunc(m.order, func(t *target) bool {
		return t.usable(now) && t.inFlight < max(1, m.config.InFlight/2)
	})
	if !free {
		return
	}
	at, _ := slices.BinarySearch(m.waiting, m.scanFrom)
	scan := slices.Concat(m.waiting[at:], m.waiting[:at])
	scan = scan[:min(len(scan), waitingScan)]
	for _, id := range scan {
		m.place(now, m.batches[id])
	}
	if len(scan) > 0 {
		m.scanFrom = scan[len(scan)-1] + 1
	}
}

// waitingScan bounds the waiting batches that one event may place, so that the
// cost of an event does not grow with the backlog.
const waitingScan = 128
