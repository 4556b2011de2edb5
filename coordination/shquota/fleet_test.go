package shquota_test

import (
	"fmt"
	"slices"
	"time"

	"sequoiahollow/coordination/shquota"
	"sequoiahollow/state/shmodel"
)

const step = 20 * time.Millisecond

var (
	rules = shquota.Rules{Window: 5 * time.Second, Over: 0.1, Slack: 20}
	start = time.Unix(1000, 0)
)

// fleet is a leader, entry VMs and a delay line between them.
type fleet struct {
	now    time.Time
	leader *shquota.Leader // nil while there is none
	// old is a leader that until oldUntil answers half of the entry VMs.
	old      *shquota.Leader
	oldUntil time.Time
	entries  []*entry
	limits   map[string]shquota.Limit
	line     []message
	passed   map[string][]*pass
	// greedy makes each ask one for all tokens that there are.
	greedy bool
}

// entry is an entry VM.
type entry struct {
	account *shquota.Account
	// waiting are requests that wait until a time, or until the next end of an ask,
	// after which answered is set.
	waiting     map[*shquota.Request]time.Time
	answered    bool
	cut         bool
	frozenUntil time.Time
	asks        int
}

// message is delivered at a time.
type message struct {
	at      time.Time
	deliver func()
}

// pass is a request that passed.
type pass struct {
	at       time.Time
	by       *shquota.Account
	ticket   shquota.Ticket
	returned bool
}

func newFleet(size int, limits map[string]shquota.Limit) *fleet {
	f := &fleet{now: start, passed: map[string][]*pass{}, limits: limits}
	for i := range size {
		f.entries = append(f.entries, &entry{account: newAccount(i, 1), waiting: map[*shquota.Request]time.Time{}})
	}
	f.setLimits(limits)
	f.elect()
	return f
}

func vmName(i int) shmodel.VM { return shmodel.VM(fmt.Sprint("entry-", i)) }

func newAccount(i int, process uint64) *shquota.Account {
	return &shquota.Account{Rules: rules, VM: vmName(i), Process: process}
}

func (f *fleet) vms() []shmodel.VM {
	var vms []shmodel.VM
	for i := range f.entries {
		vms = append(vms, vmName(i))
	}
	return vms
}

// setLimits changes the allowances at the leader and at the entry VMs that are in touch.
func (f *fleet) setLimits(limits map[string]shquota.Limit) {
	f.limits = limits
	if f.leader != nil {
		f.leader.SetTeams(f.now, limits)
	}
	for i := range f.entries {
		f.update(i)
	}
}

func (f *fleet) update(i int) {
	if x := f.entries[i]; !x.cut {
		x.account.Update(f.now, f.limits, f.vms())
	}
}

// elect replaces the leader.
func (f *fleet) elect() {
	f.leader = &shquota.Leader{Rules: rules, ID: uint64(f.now.UnixNano()), VMs: len(f.entries)}
	f.leader.SetTeams(f.now, f.limits)
}

// arrive lets a request of a team arrive at an entry VM.
func (f *fleet) arrive(i int, team string) {
	x := f.entries[i]
	if !f.now.Before(x.frozenUntil) {
		f.take(x, &shquota.Request{Team: team, At: f.now})
	}
}

func (f *fleet) take(x *entry, r *shquota.Request) {
	delete(x.waiting, r)
	switch d := x.account.Take(f.now, r).(type) {
	case shquota.Passed:
		f.passed[r.Team] = append(f.passed[r.Team], &pass{at: f.now, by: x.account, ticket: d.Ticket})
	case shquota.Waiting:
		x.waiting[r] = d.Until
	}
}

func (f *fleet) send(delay time.Duration, deliver func()) {
	f.line = append(f.line, message{f.now.Add(delay), deliver})
}

// advance lets one step pass. Delay returns the time on the way of the next message,
// negative if it is lost.
func (f *fleet) advance(delay func() time.Duration) {
	f.now = f.now.Add(step)
	due := f.line
	f.line = nil
	for _, m := range due {
		if m.at.After(f.now) {
			f.line = append(f.line, m)
		} else {
			m.deliver()
		}
	}
	for _, x := range f.entries {
		if f.now.Before(x.frozenUntil) {
			continue
		}
		f.retake(x)
		if ask, _, due := x.account.NextAsk(f.now); due {
			x.asks++
			for i := range ask.Wants {
				if f.greedy {
					ask.Wants[i].Ahead = 1 << 20
				}
			}
			f.ask(x, ask, delay)
		}
	}
}

// retake decides again on the requests that wait, the oldest first.
func (f *fleet) retake(x *entry) {
	var due []*shquota.Request
	for r, until := range x.waiting {
		if x.answered || !f.now.Before(until) {
			due = append(due, r)
		}
	}
	x.answered = false
	slices.SortFunc(due, func(a, b *shquota.Request) int { return a.At.Compare(b.At) })
	for _, r := range due {
		f.take(x, r)
	}
}

// ask sends an ask and its answer over the line. The entry VM takes an answer that needs
// too long as lost.
func (f *fleet) ask(x *entry, ask shquota.Ask, delay func() time.Duration) {
	const timeout = 400 * time.Millisecond
	account, sent, ended := x.account, f.now, false
	f.send(timeout, func() {
		if !ended && account == x.account {
			ended, x.answered = true, true
			account.Failed()
		}
	})
	there, back := delay(), delay()
	if x.cut || there < 0 {
		return
	}
	f.send(there, func() {
		leader := f.leader
		if f.now.Before(f.oldUntil) && ask.VM[len(ask.VM)-1]%2 == 0 {
			leader = f.old
		}
		if leader == nil {
			return
		}
		answer := leader.Ask(f.now, ask)
		if back < 0 || x.cut {
			return
		}
		f.send(back, func() { f.answer(x, account, answer, &ended, sent.Add(timeout)) })
	})
}

func (f *fleet) answer(x *entry, account *shquota.Account, answer shquota.Answer, ended *bool, limit time.Time) {
	if f.now.Before(x.frozenUntil) {
		f.line = append(f.line, message{x.frozenUntil, func() { f.answer(x, account, answer, ended, x.frozenUntil.Add(step)) }})
		return
	}
	if *ended || account != x.account || f.now.After(limit) {
		return
	}
	*ended, x.answered = true, true
	account.Answered(f.now, answer)
}

// busiest returns the largest number of requests of a team that ran in a window, minus
// what most permits there.
func (f *fleet) busiest(team string, most func(from, to time.Time) float64) float64 {
	ran := slices.DeleteFunc(slices.Clone(f.passed[team]), func(p *pass) bool { return p.returned })
	worst, first := 0.0, 0
	for i, p := range ran {
		for p.at.Sub(ran[first].at) > rules.Window {
			first++
		}
		over := float64(i-first+1) - most(ran[first].at, p.at)
		if i == 0 || over > worst {
			worst = over
		}
	}
	return worst
}
