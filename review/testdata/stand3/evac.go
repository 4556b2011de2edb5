package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// evacuateBound is evacuateS of the deployment, outerBound what an unstable core may add.
	evacuateBound = 5 * time.Second
	outerBound    = 5 * time.Second
	freezeTime    = 4 * time.Second
	// freezes is how often a core machine is frozen, one after the other, unless the rule is
	// broken before.
	freezes = 5
)

// evacuatedZones are three of the six zones, each in another region.
var evacuatedZones = []string{"hobart-a", "launceston-a", "melbourne-a"}

// orderAll sends an order for each evacuated zone at the same time, first to the machine at
// index first.
func (f *fleet) orderAll(r *record, first int, method string) error {
	results := make(chan error, len(evacuatedZones))
	for _, zone := range evacuatedZones {
		go func() {
			at, err := f.order(first, method, "/evacuate/"+zone, "")
			if err == nil {
				r.log("operator: %s /evacuate/%s, sent first to %s, acknowledged by %s", method, zone, f.controls[first].name, f.controls[at].name)
			}
			results <- err
		}()
	}
	var failure error
	for range evacuatedZones {
		if err := <-results; err != nil {
			failure = err
		}
	}
	return failure
}

// runEvacuation checks EVAC after a core machine was frozen while it had orders of the
// operator, who got no answer and sent them to another one.
func runEvacuation(r *record, trouble bool) (verdict, error) {
	f, backends, err := startLedger(ledgerConfig, func(b *backend, c net.Conn, q *http.Request, _ string) {
		time.Sleep(ledgerWork)
		b.answer(c, q.Header.Get("X-Request-Id"), http.StatusOK, "")
	})
	if f != nil {
		defer f.stop()
	}
	for _, b := range backends {
		defer b.stop()
	}
	if err != nil {
		return nil, err
	}
	for n := range freezes {
		broken, err := evacuateTwice(f, backends, r, n, trouble)
		if err != nil || len(broken) > 0 {
			return broken, err
		}
	}
	return nil, nil
}

// evacuateTwice evacuates the zones, takes that back while a core machine is frozen,
// evacuates them again, and checks the rule once the frozen machine is in touch again.
func evacuateTwice(f *fleet, backends []*backend, r *record, round int, trouble bool) (verdict, error) {
	const frozenIndex = 4
	frozen := f.controls[frozenIndex]
	if err := f.orderAll(r, 0, "POST"); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if trouble {
		r.log("%s is frozen", frozen.name)
		if err := frozen.signal(syscall.SIGSTOP); err != nil {
			return nil, err
		}
	}
	thawed := time.After(freezeTime)
	if err := f.orderAll(r, frozenIndex, "DELETE"); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	if err := f.orderAll(r, 0, "POST"); err != nil {
		return nil, err
	}
	acknowledged := time.Now()
	<-thawed
	if trouble {
		r.log("%s runs again", frozen.name)
		if err := frozen.signal(syscall.SIGCONT); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(evacuateBound + outerBound + 500*time.Millisecond)))
	sent := map[string]bool{}
	for n := range 60 {
		id := newID()
		sent[id] = true
		a := ask(f.address(f.entries[n%len(f.entries)], "entry"), ledgerHost, "PUT", fmt.Sprintf("%sround-%d-%d", ledgerPath, round, n), id, "x", payTimeout)
		r.log("client: %s: status %d, signature %q", id, a.status, a.signature)
	}
	var broken verdict
	for _, b := range backends {
		for _, x := range b.requests() {
			if sent[x.id] && slices.Contains(evacuatedZones, b.zone) {
				broken = append(broken, fmt.Sprintf("EVAC: request %s reached %s in %s %.1f s after the acknowledgement", x.id, b.id, b.zone, x.at.Sub(acknowledged).Seconds()))
			}
		}
	}
	return broken, nil
}
