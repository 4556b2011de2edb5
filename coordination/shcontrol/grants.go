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
	// the holder sent its request.
	GrantDuration = 3 * time.Second

	// minGrant, in bits per second, avoids grants that carry no useful traffic.
	// A smaller grant is issued only if the request was for less than minGrant.
	minGrant = 8_000

	// requesterMaxAge is how long a VM whose request was refused counts as a
	// contender for the link. It exceeds GrantDuration, so that the holders
	// renew at a lower rate and leave room for that VM.
	requesterMaxAge = 5 * time.Second
)

// Grant is an active share of the link From → To. The holder VM may use it for
// Duration, counted from before the VM sent its request.
type Grant struct {
	ID            uint64         `json:"id"`
	VM            shmodel.VM     `json:"vm"`
	From          shmodel.Region `json:"from"`
	To            shmodel.Region `json:"to"`
	BitsPerSecond int64          `json:"bitsPerSecond"`
	Duration      time.Duration  `json:"duration"`
}

// regionPair is an ordered pair of regions.
type regionPair struct{ from, to shmodel.Region }

// grants is the active grants. A grant counts against the link until
// ExpireGrant frees it, even if the cap of the link was lowered. A renewal
// moves rate from an old grant to a new one; the rest of the old grant still
// counts. So the sum over the grants of a holder never drops below what the
// holder may use, even if the answer to the renewal is lost.
type grants struct {
	LastID uint64            `json:"lastId"`
	Active map[uint64]*Grant `json:"active"`
	// Requesters is the VMs whose last request was refused.
	Requesters agingMap[requester, bool] `json:"askers"`

	// held is the total rate of the active grants by region pair and VM. It is
	// derived from Active and not part of a snapshot.
	held map[regionPair]map[shmodel.VM]int64
}

// requester is a VM that requested a share of a link.
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
	request := requester{VM: c.VM, From: c.From, To: c.To}
	g.Requesters.put(at, request, true)
	p := regionPair{from: c.From, to: c.To}
	u := g.usage(trafficLimit(config, p), p, c.VM)
	old := g.renewable(c)
	moved := min(c.BitsPerSecond, u.maxMovedRate(totalRate(old)))
	rate := moved + min(c.BitsPerSecond-moved, u.maxNewRate())
	if rate <= 0 || rate < min(c.BitsPerSecond, minGrant) {
		return GrantResult{}
	}
	g.Requesters.remove(request)
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

// renewable returns the active grants that a request may renew, in the order of
// c.Renews.
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

// shrink lowers the rates of grants, in their order, by rate in total.
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

// linkUsage describes the use of a link when one VM requests a grant. Rates are
// in bits per second.
type linkUsage struct {
	limit int64
	// free is negative if the cap was lowered below the granted rates.
	free int64
	// contenders is the number of VMs that hold a grant or were refused lately,
	// including the requesting VM.
	contenders int64
	// ownRate is the total rate of the grants of the requesting VM.
	ownRate int64
}

func (g *grants) usage(limit int64, p regionPair, vm shmodel.VM) linkUsage {
	u := linkUsage{
		limit:      limit,
		free:       limit,
		contenders: int64(len(g.held[p])),
		ownRate:    g.held[p][vm],
	}
	for _, held := range g.held[p] {
		u.free -= held
	}
	for r := range g.Requesters.entries {
		if r.From == p.from && r.To == p.to && g.held[p][r.VM] == 0 {
			u.contenders++
		}
	}
	return u
}

// withinFairShare reports whether the VM holds at most an equal share.
func (u linkUsage) withinFairShare() bool { return u.ownRate <= u.limit/u.contenders }

// maxNewRate returns how much of the free rate one request may get. Half of the
// free rate is left for the next requests. A VM above its equal share gets less
// the more contenders there are, so that the others reach their shares.
func (u linkUsage) maxNewRate() int64 {
	if u.withinFairShare() {
		return max(0, u.free/2)
	}
	return max(0, u.free/(2*u.contenders))
}

// maxMovedRate returns how much rate may move from renewable grants to a new
// one: nothing if the link is over its limit because the cap was lowered, and
// half if the VM is above its equal share.
func (u linkUsage) maxMovedRate(renewable int64) int64 {
	switch {
	case u.free < 0:
		return 0
	case u.withinFairShare():
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

// addHeld adds a rate to the total that the holder of a grant holds.
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

// rebuild derives held from Active after a restore.
func (g *grants) rebuild() {
	g.held = nil
	for _, grant := range g.Active {
		g.addHeld(grant, grant.BitsPerSecond)
	}
}

// list returns the active grants, sorted by ID.
func (g *grants) list() []Grant {
	active := make([]Grant, 0, len(g.Active))
	for _, id := range slices.Sorted(maps.Keys(g.Active)) {
		active = append(active, *g.Active[id])
	}
	return active
}

// trafficLimit returns the cap of the link of a region pair minus the rate that
// is reserved for control messages. Without a link it is zero; with several
// links for the pair it is the lowest of their limits.
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
