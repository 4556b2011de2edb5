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
)

// Grant is an active share of a link.
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
// when the same VM renewed it or its cap was lowered.
type grants struct {
	LastID uint64            `json:"lastId"`
	Active map[uint64]*Grant `json:"active"`

	// held is the sum of active grants by pair and VM. It is rebuilt from
	// Active.
	held map[pair]map[shmodel.VM]int64
}

// request applies a RequestGrant.
func (g *grants) request(config shconfig.Config, c RequestGrant) Result {
	if c.VM == "" || c.From == c.To || c.BitsPerSecond <= 0 {
		return Rejected{Reason: "a grant needs a VM, two regions and a rate"}
	}
	p := pair{from: c.From, to: c.To}
	rate := min(c.BitsPerSecond, g.share(limitOf(config, p), p, c.VM))
	if rate <= 0 || rate < min(c.BitsPerSecond, minGrant) {
		return GrantResult{}
	}
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

// share returns the most that one request of vm may get. A VM below its equal
// share gets half of what is free, which leaves something for VMs that ask
// next. A VM above it gets less the more holders there are, so that the others
// catch up as its older grants run out.
func (g *grants) share(limit int64, p pair, vm shmodel.VM) int64 {
	free := limit
	for _, held := range g.held[p] {
		free -= held
	}
	holders := int64(len(g.held[p]))
	if _, ok := g.held[p][vm]; !ok {
		holders++
	}
	if holders == 1 || g.held[p][vm] < limit/holders {
		return free / 2
	}
	return free / (2 * holders)
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
