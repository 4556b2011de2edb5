package shcontrol

import (
	"maps"
	"slices"
	"time"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

const (
	// GrantDuration is how long a holder may use a grant, counted from before
	// it asked.
	GrantDuration = 3 * time.Second

	// minGrant in bits per second avoids grants that carry no useful traffic.
	// Smaller ones are issued only if no more was asked for.
	minGrant = 8_000

	// requesterMaxAge is how long a VM that got nothing counts in the division. It
	// exceeds GrantDuration, so that the holders shrink their grants for it.
	requesterMaxAge = 5 * time.Second
)

// Grant is an active share of the link From → To. The holder VM may use it for
// Duration, counted from before it asked.
type Grant struct {
	ID            uint64         `json:"id"`
	VM            shmodel.VM     `json:"vm"`
	From          shmodel.Region `json:"from"`
	To            shmodel.Region `json:"to"`
	BitsPerSecond int64          `json:"bitsPerSecond"`
	Duration      time.Duration  `json:"duration"`
}

// regionPair is an ordered regionPair of regions.
type regionPair struct{ from, to shmodel.Region }

// grants is the active grants. A grant counts until ExpireGrant frees it, also
// when its cap was lowered. A renewal moves rate from an old grant to a new
// one; the rest of the old grant still counts. So the sum over all grants never
// drops below what a holder may use, even if the holder does not learn of the
// renewal.
type grants struct {
	LastID uint64            `json:"lastId"`
	Active map[uint64]*Grant `json:"active"`
	// Requesters is the VMs that asked and got nothing.
	Requesters agingMap[requester, bool] `json:"askers"`

	// held is the sum of active grants by pair and VM. It is rebuilt from
	// Active.
	held map[regionPair]map[shmodel.VM]int64
}

// requester is a VM that wants a share of a link.
type requester struct {
	VM   shmodel.VM     `json:"vm"`
	From shmodel.Region `json:"from"`
	To   shmodel.Region `json:"to"`
}

// request applies a RequestGrant.
func (g *grants) request(at time.Time, config shconfig.Config, c RequestGrant) Result {
	if c.VM == "" || c.From == c.To || c.BitsPerSecond <= 0 {
		return Rejected{Reason: "a grant needs a VM, two regions and a rate"}
	}
	for range maxExpiredPerApply {
		if _, ok := g.Requesters.popExpired(at, requesterMaxAge); !ok {
			break
		}
	}
	asks := requester{VM: c.VM, From: c.From, To: c.To}
	g.Requesters.put(at, asks, true)
	p := regionPair{from: c.From, to: c.To}
	d := g.usage(trafficLimit(config, p), p, c.VM)
	old := g.renewable(c)
	moved := min(c.BitsPerSecond, d.maxMovedRate(totalRate(old)))
	rate := moved + min(c.BitsPerSecond-moved, d.maxNewRate())
	if rate <= 0 || rate < min(c.BitsPerSecond, minGrant) {
		return GrantResult{}
	}
	g.Requesters.remove(asks)
	g.shrink(old, moved)
	return g.issue(c, rate)
}

func (g *grants) issue(c RequestGrant, rate int64) GrantResult {
	g.LastID++
	issued := &Grant{
		ID:            g.LastID,
		VM:            c.VM,
		From:          c.From,
		To:            c.To,
		BitsPerSecond: rate,
		Duration:      GrantDuration,
	}
	if g.Active == nil {
		g.Active = map[uint64]*Grant{}
	}
	g.Active[issued.ID] = issued
	g.addHeld(issued, rate)
	return GrantResult{ID: issued.ID, BitsPerSecond: rate, Duration: GrantDuration}
}

// renewable returns the active grants that a request may renew, in its order.
func (g *grants) renewable(c RequestGrant) []*Grant {
	var old []*Grant
	for _, id := range c.Renews {
		o := g.Active[id]
		if o == nil || slices.Contains(old, o) {
			continue
		}
		if o.VM == c.VM && o.From == c.From && o.To == c.To {
			old = append(old, o)
		}
	}
	return old
}

// shrink takes a rate from grants, in their order.
func (g *grants) shrink(old []*Grant, rate int64) {
	for _, o := range old {
		moved := min(rate, o.BitsPerSecond)
		rate -= moved
		o.BitsPerSecond -= moved
		g.addHeld(o, -moved)
		if o.BitsPerSecond == 0 {
			delete(g.Active, o.ID)
		}
	}
}

// expire applies an ExpireGrant.
func (g *grants) expire(c ExpireGrant) Result {
	expired := g.Active[c.ID]
	if expired == nil {
		return GrantResult{ID: c.ID}
	}
	delete(g.Active, c.ID)
	g.addHeld(expired, -expired.BitsPerSecond)
	return GrantResult{ID: c.ID}
}

// linkUsage is how a link is divided when one VM asks. Rates are in bits per
// second.
type linkUsage struct {
	limit      int64
	free       int64
	contenders int64
	ownRate    int64
}

func (g *grants) usage(limit int64, p regionPair, vm shmodel.VM) linkUsage {
	d := linkUsage{
		limit:      limit,
		free:       limit,
		contenders: int64(len(g.held[p])),
		ownRate:    g.held[p][vm],
	}
	for _, held := range g.held[p] {
		d.free -= held
	}
	for a := range g.Requesters.entries {
		if a.From == p.from && a.To == p.to && g.held[p][a.VM] == 0 {
			d.contenders++
		}
	}
	return d
}

// withinFairShare reports whether the VM holds at most its withinFairShare share.
func (d linkUsage) withinFairShare() bool { return d.ownRate <= d.limit/d.contenders }

// maxNewRate returns the most that one request may get of what is free. Half of it
// is left for VMs that ask next. A VM above its equal maxNewRate gets less the more
// holders there are, so that the others catch up.
func (d linkUsage) maxNewRate() int64 {
	if d.withinFairShare() {
		return max(0, d.free/2)
	}
	return max(0, d.free/(2*d.contenders))
}

// maxMovedRate returns how much of renewable grants may move to a new one: nothing
// under a cap that was lowered, and half if the VM is above its equal share.
func (d linkUsage) maxMovedRate(renewable int64) int64 {
	switch {
	case d.free < 0:
		return 0
	case d.withinFairShare():
		return renewable
	}
	return renewable / 2
}

func totalRate(grants []*Grant) int64 {
	total := int64(0)
	for _, g := range grants {
		total += g.BitsPerSecond
	}
	return total
}

// addHeld adds a rate to the sum of the holder of a grant.
func (g *grants) addHeld(grant *Grant, rate int64) {
	p := regionPair{from: grant.From, to: grant.To}
	if g.held == nil {
		g.held = map[regionPair]map[shmodel.VM]int64{}
	}
	if g.held[p] == nil {
		g.held[p] = map[shmodel.VM]int64{}
	}
	g.held[p][grant.VM] += rate
	if g.held[p][grant.VM] == 0 {
		delete(g.held[p], grant.VM)
	}
}

// rebuild derives the sums after a restore.
func (g *grants) rebuild() {
	g.held = nil
	for _, grant := range g.Active {
		g.addHeld(grant, grant.BitsPerSecond)
	}
}

// list returns the active grants by ID.
func (g *grants) list() []Grant {
	active := make([]Grant, 0, len(g.Active))
	for _, id := range slices.Sorted(maps.Keys(g.Active)) {
		active = append(active, *g.Active[id])
	}
	return active
}

// trafficLimit returns the cap of a pair less the control reserve. Without a link
// it is zero; of several links for the pair the lowest limit holds.
func trafficLimit(config shconfig.Config, p regionPair) int64 {
	limit := int64(-1)
	for _, link := range config.Links {
		if link.From != p.from || link.To != p.to {
			continue
		}
		usable := max(0, link.CapBitsPerSecond-max(0, link.ControlBitsPerSecond))
		if limit < 0 || usable < limit {
			limit = usable
		}
	}
	return max(0, limit)
}
