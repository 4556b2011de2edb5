package shquota_test

import (
	"fmt"
	"time"

	"sequoiahollow/coordination/shquota"
	"sequoiahollow/state/shmodel"
)

func ExampleRules_Plan() {
	r := shquota.Rules{Window: 5 * time.Second, Over: 0.1, Slack: 20}
	for _, l := range []shquota.Limit{{Rate: 300, Burst: 300}, {Rate: 300}, {Rate: 10, Burst: 10}} {
		p := r.Plan(l)
		fmt.Printf("%v of %.0f: tokens live %v, spare %.0f\n", l, r.Most(l), p.TokenLife.Round(10*time.Millisecond), p.Spare)
	}
	// Output:
	// {300 300} of 2000: tokens live 400ms, spare 50
	// {300 0} of 1670: tokens live 240ms, spare 42
	// {10 10} of 86: tokens live 500ms, spare 17
}

func ExampleAccount() {
	r := shquota.Rules{Window: 5 * time.Second, Over: 0.1, Slack: 20}
	limits := map[string]shquota.Limit{"acme": {Rate: 10, Burst: 10}}
	now := time.Unix(1000, 0)
	leader := shquota.Leader{Rules: r, ID: 1}
	leader.SetTeams(now, limits)
	account := shquota.Account{Rules: r, VM: "entry-1", Process: 1}
	account.Update(now, limits, []shmodel.VM{"entry-1", "entry-2"})

	now = now.Add(time.Second)
	request := shquota.Request{Team: "acme", At: now}
	fmt.Printf("%T\n", account.Take(now, &request))
	ask, _, _ := account.NextAsk(now)
	account.Answered(now.Add(5*time.Millisecond), leader.Ask(now, ask))
	fmt.Printf("%T\n", account.Take(now.Add(5*time.Millisecond), &request))
	// Output:
	// shquota.Waiting
	// shquota.Passed
}
