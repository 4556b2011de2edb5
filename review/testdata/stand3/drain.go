package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// drainBound is drainS of the deployment.
	drainBound = 2 * time.Second
	// cutAfter is when the leaving backend server is cut off, by the acknowledgement of its
	// report, and cutTime for how long.
	cutAfter = 200 * time.Millisecond
	cutTime  = 5500 * time.Millisecond
	// lateBy is how late its last ping from before the report arrives.
	lateBy = 7400 * time.Millisecond
	// drainTime is how long it serves after the acknowledgement.
	drainTime = 10 * time.Second
	// loadClients send requests one after the other.
	loadClients = 4
)

// load sends requests until stop is closed. It records those that were not served.
func (f *fleet) load(r *record, stop <-chan struct{}, wait *sync.WaitGroup) {
	for i := range loadClients {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				entry := f.entries[(i+n)%len(f.entries)]
				a := ask(f.address(entry, "entry"), ledgerHost, "PUT", fmt.Sprintf("%sp%d-%d", ledgerPath, i, n), newID(), "x", payTimeout)
				if a.status != http.StatusOK {
					r.log("client: %s: status %d, Retry-After %q, error %v", a.id, a.status, a.retryAfter, a.err)
				}
			}
		})
	}
}

// runLatePing checks DRAIN for a backend server that has reported that it drains, is then
// cut off for some seconds, and one of whose earlier pings arrives after the cut.
func runLatePing(r *record, trouble bool) (verdict, error) {
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
	stop := make(chan struct{})
	var clients sync.WaitGroup
	f.load(r, stop, &clients)
	time.Sleep(time.Second)
	report, err := leaveLate(f, backends[0], r, trouble)
	close(stop)
	clients.Wait()
	if err != nil {
		return nil, err
	}
	var broken verdict
	for _, x := range backends[0].requests() {
		if after := x.at.Sub(report.at); after > drainBound {
			broken = append(broken, fmt.Sprintf("DRAIN: request %s reached %s %.2f s after its draining was acknowledged", x.id, x.backend, after.Seconds()))
		}
	}
	return broken, nil
}

// leaveLate makes a backend server report that it drains and returns the acknowledgement
// once it would have ended.
func leaveLate(f *fleet, b *backend, r *record, trouble bool) (*acknowledgement, error) {
	late := b.announcement()
	r.log("%s: ping: %s", b.id, late)
	report, err := b.report("draining")
	if err != nil {
		return nil, err
	}
	r.log("%s: acknowledged by %s: %s", b.id, report.by, report.text)
	if trouble {
		time.Sleep(time.Until(report.at.Add(cutAfter)))
		b.cut.Store(true)
		r.log("%s is cut off", b.id)
		time.Sleep(cutTime)
		b.cut.Store(false)
		r.log("the cut ends")
		time.Sleep(time.Until(report.at.Add(lateBy)))
		m := f.controls[4]
		a := call("PUT", f.address(m, "control"), "/instances/"+b.id, late, pingTimeout)
		r.log("%s: the late ping arrives at %s: status %d", b.id, m.name, a.status)
	}
	time.Sleep(time.Until(report.at.Add(drainTime)))
	last := b.acknowledged.Load()
	r.log("%s: last ping acknowledged %.2f s after the report: %s", b.id, last.at.Sub(report.at).Seconds(), last.text)
	return report, nil
}
