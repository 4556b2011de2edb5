// Package shquota decides which requests of a team pass, so that all entry VMs
// together stay within its allowance.
//
// # Model
//
// The leader of the control VMs keeps one token bucket a team. An Account is the side
// of an entry VM. It asks for the tokens that its waiting requests need and, for teams
// with much traffic, for those that it expects to need soon; one Ask covers all teams.
// Tokens expire a short time after the ask was sent, by the clock of the entry VM, so
// that a late answer, a freeze or a cut never adds to what passes later. Tokens that
// expire unused go back to the leader with the next ask.
//
// An entry VM that gets no answer uses its bridges, rates of large teams that it was
// granted with the last answers, and its spare, a small bucket of its own that needs no
// message. The spare buckets of all entry VMs and the lifetime of tokens are paid
// for by what the Rules permit beyond the allowance; see Rules.Plan.
//
// The state of the Leader is kept in memory only. A new leader starts with empty
// buckets: while tokens of the last leader may still be in use, it has issued none that
// the last one could have issued as well. It assumes that all bridges were granted which
// may have been.
//
// Leader and Account are state machines without clock, goroutines or network. The
// caller passes the time, which must include suspends of the VM. They are not safe for
// concurrent use.
package shquota

import (
	"time"

	"sequoiahollow/state/shmodel"
)

const (
	// reserveShare of the excess is left for entry VMs that know different sets of
	// VMs, for drift of clocks, and for a leader that has not yet noticed its successor.
	reserveShare = 0.15
	// spareShare is the least share of the excess that goes to the spare buckets.
	spareShare = 0.25
	// maxTokenLife is the longest use of a token. Longer ones would bring nothing, since
	// an Account asks for the needs of a shorter time.
	maxTokenLife = 500 * time.Millisecond
	// minTokenLife is the shortest use: a round trip between distant regions and the
	// delay of a busy VM. If the excess does not suffice for it, the rate of the leader
	// is lowered.
	minTokenLife = 150 * time.Millisecond
	// minLeaderBurst is the time whose tokens fit into the bucket of the leader even
	// if the burst is smaller, so that the tokens between two asks are not lost.
	minLeaderBurst = 100 * time.Millisecond
)

// Rules says how allowances are measured: in any Window, at most (rate × Window +
// burst) × (1 + Over) + Slack requests of a team may run. The zero value says that
// allowances are not kept.
type Rules struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// Enabled reports whether allowances are kept.
func (r Rules) Enabled() bool { return r.Window > 0 }

// Limit is the allowance of a team: Rate requests per second and Burst at once.
type Limit struct {
	Rate  float64
	Burst float64
}

// Most returns the number of requests that may run in a window.
func (r Rules) Most(l Limit) float64 {
	return (l.Rate*r.Window.Seconds()+l.Burst)*(1+r.Over) + r.Slack
}

// Plan divides what may run in a window between the leader and the spare buckets.
type Plan struct {
	// Leader is the bucket of the leader.
	Leader Limit
	// TokenLife is how long a token may be used, counted from when the ask was sent.
	TokenLife time.Duration
	// Spare is the number of requests in a window that all entry VMs together may pass
	// without the leader.
	Spare float64
}

// Plan returns the division for an allowance. Tokens used in a window were issued in
// the window or up to TokenLife earlier, so that rate × (window + TokenLife) + burst
// of them are used at most. That and the spare buckets stay below Most.
func (r Rules) Plan(l Limit) Plan {
	window := r.Window.Seconds()
	excess := r.Most(l) - l.Rate*window - l.Burst
	usable := r.Most(l) - reserveShare*excess
	p := Plan{Leader: Limit{Rate: l.Rate, Burst: max(l.Burst, l.Rate*minLeaderBurst.Seconds()+1)}}
	p.Spare = spareShare * excess
	left := usable - p.Spare - l.Rate*window - p.Leader.Burst
	life := maxTokenLife.Seconds()
	if l.Rate > 0 {
		life = min(max(left/l.Rate, minTokenLife.Seconds()), life)
	}
	p.TokenLife = time.Duration(life * float64(time.Second))
	issued := l.Rate*(window+life) + p.Leader.Burst
	if issued+p.Spare > usable {
		scale := max(usable-p.Spare, 0) / issued
		p.Leader.Rate *= scale
		p.Leader.Burst *= scale
		issued *= scale
	}
	p.Spare = usable - issued
	return p
}

// Ask requests tokens for an entry VM. Stamps of tokens given back are those of their
// Grant.
type Ask struct {
	VM shmodel.VM `json:"vm"`
	// Process tells the asks of successive processes of the VM apart. Number increases
	// with each ask of a process, so that the leader takes tokens back only once if it
	// gets an ask twice.
	Process uint64 `json:"process"`
	Number  uint64 `json:"number"`
	// Leader is the Answer.Leader of the tokens given back.
	Leader uint64 `json:"leader,omitempty"`
	Wants  []Want `json:"wants"`
}

// Want is the part of an Ask for one team.
type Want struct {
	Team string `json:"team"`
	// Waiting is the number of tokens for requests that wait, Ahead that for requests
	// which are expected.
	Waiting int `json:"waiting,omitempty"`
	Ahead   int `json:"ahead,omitempty"`
	// Rate is the rate of the bridge asked for, and Bridge the one that the entry VM
	// holds. An ask without a Rate gives the bridge up once it is answered.
	Rate   float64 `json:"rate,omitempty"`
	Bridge *Bridge `json:"bridge,omitempty"`
	// Refused is the number of requests that the entry VM refused since its last ask.
	Refused int `json:"refused,omitempty"`
	// Unused is the number of tokens given back, the oldest of them with Stamp.
	Unused int    `json:"unused,omitempty"`
	Stamp  uint64 `json:"stamp,omitempty"`
}

// Answer is the answer of the leader to an Ask.
type Answer struct {
	// Leader tells successive leaders apart.
	Leader uint64  `json:"leader"`
	Grants []Grant `json:"grants"`
}

// Grant is the part of an Answer for one team.
type Grant struct {
	Team   string `json:"team"`
	Tokens int    `json:"tokens,omitempty"`
	// Stamp tells when the tokens were taken from the leader's bucket, which decides
	// whether one given back still fits into it.
	Stamp uint64 `json:"stamp,omitempty"`
	// Bridge is the rate of the bridge, 0 for none.
	Bridge float64 `json:"bridge,omitempty"`
	// WaitMS is set if Tokens is less than asked for: the milliseconds until the bucket
	// has room for the requests that were refused before this one.
	WaitMS int64 `json:"waitMs,omitempty"`
}
