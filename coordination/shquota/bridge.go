package shquota

import (
	"maps"
	"time"

	"sequoiahollow/state/shmodel"
)

const (
	// bridgeFrom and bridgeUntil say when a bridge may be used, counted from when its
	// ask was sent. At bridgeFrom all tokens of the ask have expired. Until bridgeUntil
	// a new leader is elected and found.
	bridgeFrom  = maxTokenLife
	bridgeUntil = 2500 * time.Millisecond
	// bridgeAnswer is the longest time to the answer to an ask for a bridge. The leader
	// does not know when an ask was sent, only that it was not longer ago than this if
	// the bridge is used.
	bridgeAnswer = 150 * time.Millisecond
	// bridgeRenewal is the time from one ask to the next that replaces its bridge, so that
	// the leader does not yet count the first one as used.
	bridgeRenewal = 200 * time.Millisecond
	// bridgeShare is the part of the rate that all bridges together may have. The rest
	// is for other entry VMs while bridges are used, and for a new leader.
	bridgeShare = 0.6
	// bridgeDemand is the number of tokens that each entry VM could use in a lifetime of
	// tokens, if the rate is divided evenly, from which a team has bridges. A new leader
	// assumes those of the last one from assumedDemand on, since the number of entry VMs
	// may have risen a little in between. Below that, the rate that a new leader issues
	// at once would not suffice for demand too small for bridges.
	bridgeDemand  = 2.5
	assumedDemand = 2.3
)

// Bridge is a rate that an entry VM may use from bridgeFrom until bridgeUntil after it
// sent an ask, if no later ask is answered. While it is in touch with the leader, it
// replaces each bridge by the next before it may be used.
type Bridge struct {
	// Leader and Number name the leader and the ask.
	Leader uint64  `json:"leader"`
	Number uint64  `json:"number"`
	Rate   float64 `json:"rate"`
}

// heldBridge is the bridge that an Account holds.
type heldBridge struct {
	Bridge
	bucket bucket
	until  time.Time
}

func newHeldBridge(b Bridge, sentAt time.Time, life time.Duration) *heldBridge {
	return &heldBridge{
		Bridge: b, until: sentAt.Add(bridgeUntil),
		bucket: bucket{limit: Limit{Rate: b.Rate, Burst: b.Rate * life.Seconds()}, refilledAt: sentAt.Add(bridgeFrom)},
	}
}

// take takes a request from the bridge.
func (h *heldBridge) take(now time.Time) (t Ticket, ok bool) {
	if h == nil || !now.Before(h.until) {
		return Ticket{}, false
	}
	h.bucket.refill(now, 0)
	n, stamp := h.bucket.take(now, 1)
	return Ticket{bucket: &h.bucket, stamp: stamp}, n == 1
}

// nextAt returns when the bridge has its next token, false if it ends before.
func (h *heldBridge) nextAt(now time.Time) (time.Time, bool) {
	if h == nil {
		return now, false
	}
	missing := max(1-h.bucket.level, 0)
	at := later(now, h.bucket.refilledAt).Add(time.Duration(missing / h.Rate * float64(time.Second)))
	return at.Add(time.Millisecond), at.Before(h.until)
}

// renewIn returns the time until the bridge is to be replaced.
func (h *heldBridge) renewIn(now time.Time) time.Duration {
	if h == nil {
		return 0
	}
	return h.until.Add(bridgeRenewal - bridgeUntil).Sub(now)
}

// bridges is the bridges of one team, as its leader knows them.
type bridges struct {
	issued map[shmodel.VM][]issuedBridge
	// assumed is the rate of the bridges of earlier leaders that no entry VM has told
	// of yet, which end at assumedUntil. told are the entry VMs that have.
	assumed      float64
	assumedUntil time.Time
	told         map[shmodel.VM]bool
}

type issuedBridge struct {
	Bridge
	from, until time.Time
}

// assume takes bridges of earlier leaders into account.
func (b *bridges) assume(now time.Time, rate float64) {
	b.issued, b.told = map[shmodel.VM][]issuedBridge{}, map[shmodel.VM]bool{}
	b.assumed, b.assumedUntil = rate, now.Add(bridgeUntil)
}

// used returns the number of requests that the bridges permitted in a time.
func (b *bridges) used(from, to time.Time) float64 {
	used := 0.0
	if end := earlier(to, b.assumedUntil); end.After(from) {
		used = b.assumed * end.Sub(from).Seconds()
	}
	for _, list := range b.issued {
		m := merged(list)
		if start, end := later(from, m.from), earlier(to, m.until); end.After(start) {
			used += m.Rate * end.Sub(start).Seconds()
		}
	}
	return used
}

// merged returns a bridge that permits what any one of a list does: an entry VM holds one
// of them, but the leader does not know which.
func merged(list []issuedBridge) issuedBridge {
	m := list[0]
	for _, x := range list[1:] {
		m.Rate, m.from, m.until = max(m.Rate, x.Rate), earlier(m.from, x.from), later(m.until, x.until)
	}
	return m
}

// held learns which bridge an entry VM holds. It holds none of the others that were
// issued to it, since it has given up the asks for them.
func (b *bridges) held(now time.Time, leader uint64, vm shmodel.VM, held *Bridge) {
	maps.DeleteFunc(b.issued, func(_ shmodel.VM, list []issuedBridge) bool { return !now.Before(merged(list).until) })
	list := b.issued[vm]
	delete(b.issued, vm)
	if held == nil {
		return
	}
	if held.Leader != leader && now.Before(b.assumedUntil) && !b.told[vm] {
		b.told[vm] = true
		rate := min(max(held.Rate, 0), b.assumed)
		b.assumed -= rate
		foreign := *held
		foreign.Rate = rate
		list = append(list, issuedBridge{foreign, now, b.assumedUntil})
	}
	for _, x := range list {
		if x.Leader == held.Leader && x.Number == held.Number {
			b.issued[vm] = []issuedBridge{x}
		}
	}
}

// issue issues a bridge of up to the wanted rate and returns its rate, 0 for none. Half
// of what is free is left to other entry VMs. Bridges of less than least are not worth
// while: single tokens do not fit into them.
func (b *bridges) issue(now time.Time, ask Bridge, vm shmodel.VM, wanted, limit, least float64) float64 {
	free, own := limit, 0.0
	if now.Before(b.assumedUntil) {
		free -= b.assumed
	}
	for other, list := range b.issued {
		if other == vm {
			own = merged(list).Rate
		} else {
			free -= merged(list).Rate
		}
	}
	ask.Rate = min(wanted, own+max(free-own, 0)/2, max(free, 0))
	if ask.Rate < least {
		return 0
	}
	b.issued[vm] = append(b.issued[vm], issuedBridge{ask, now.Add(bridgeFrom - bridgeAnswer), now.Add(bridgeUntil)})
	return ask.Rate
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
