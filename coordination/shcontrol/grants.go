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

	// askerAge is how long a VM that got nothing counts in the division. It
	// exceeds GrantDuration, so that the holders shrink their grants for it.
	askerAge = 5 * time.Second
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

// pair is an ordered pair of regions.
type pair struct{ from, to shmodel.Region }

// grants is the active grants. A grant counts until ExpireGrant frees it, also
// when its cap was lowered. A renewal moves rate from an old grant to a new
// one; the rest of the old grant still counts. So the sum over all grants never
// drops below what a holder may use, even if the holder does not learn of the
// renewal.
type grants struct {
	LastID uint64            `json:"lastId"`
	Active map[uint64]*Grant `json:"active"`
	// Askers is the VMs that asked and got nothing.
	Askers agingMap[asker, bool] `json:"askers"`

	// held is the sum of active grants by pair and VM. It is rebuilt from
	// Active.
	held map[pair]map[shmodel.VM]int64
}

// asker is a VM that wants a share of a link.
type asker struct {
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
		if _, ok := g.Askers.takeOlder(at, askerAge); !ok {
			break
		}
	}
	asks := asker{VM: c.VM, From: c.From, To: c.To}
	g.Askers.put(at, asks, true)
	p := pair{from: c.From, to: c.To}
	d := g.division(limitOf(config, p), p, c.VM)
	old := g.renewable(c)
	moved := min(c.BitsPerSecond, d.movable(sum(old)))
	rate := moved + min(c.BitsPerSecond-moved, d.share())
	if rate <= 0 || rate < min(c.BitsPerSecond, minGrant) {
		return GrantResult{}
	}
	g.Askers.remove(asks)
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
	g.count(issued, rate)
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
		g.count(o, -moved)
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
	g.count(expired, -expired.BitsPerSecond)
	return GrantResult{ID: c.ID}
}

// division is how a link is divided when one VM asks. Rates are in bits per
// second.
type division struct {
	limit   int64
	free    int64
	holders int64
	own     int64
}

func (g *grants) division(limit int64, p pair, vm shmodel.VM) division {
	d := division{
		limit:   limit,
		free:    limit,
		holders: int64(len(g.held[p])),
		own:     g.held[p][vm],
	}
	for _, held := range g.held[p] {
		d.free -= held
	}
	for a := range g.Askers.entries {
		if a.From == p.from && a.To == p.to && g.held[p][a.VM] == 0 {
			d.holders++
		}
	}
	return d
}

// equal reports whether the VM holds at most its equal share.
func (d division) equal() bool { return d.own <= d.limit/d.holders }

// share returns the most that one request may get of what is free. Half of it
// is left for VMs that ask next. A VM above its equal share gets less the more
// holders there are, so that the others catch up.
func (d division) share() int64 {
	if d.equal() {
		return max(0, d.free/2)
	}
	return max(0, d.free/(2*d.holders))
}

// movable returns how much of renewable grants may move to a new one: nothing
// under a cap that was lowered, and half if the VM is above its equal share.
func (d division) movable(renewable int64) int64 {
	switch {
	case d.free < 0:
		return 0
	case d.equal():
		return renewable
	}
	return renewable / 2
}

func sum(grants []*Grant) int64 {
	total := int64(0)
	for _, g := range grants {
		total += g.BitsPerSecond
	}
	return total
}

// count adds a rate to the sum of the holder of a grant.
func (g *grants) count(grant *Grant, rate int64) {
	p := pair{from: grant.From, to: grant.To}
	if g.held == nil {
		g.held = map[pair]map[shmodel.VM]int64{}
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
		g.count(grant, grant.BitsPerSecond)
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

// limitOf returns the cap of a pair less the control reserve. Without a link
// it is zero; of several links for the pair the lowest limit holds.
func limitOf(config shconfig.Config, p pair) int64 {
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
