package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// coldRate is coldPerS of the service. Within one second a cold backend server may get
	// coldRate*coldOver + coldSlack requests.
	coldRate  = 2.9
	coldOver  = 1.5
	coldSlack = 5
	coldTime  = 3 * time.Second
	// coldWindow is the length of the second that counts.
	coldWindow = time.Second
	coldZone   = "hobart-a"
	coldBound  = coldRate*coldOver + coldSlack
	// crashFactor times that many requests in one second crash the backend server.
	crashFactor = 2
	// lateAfter is how much later than its successor the earlier ping arrives.
	lateAfter = 500 * time.Millisecond
)

// runCold checks FAILBACK for a backend server that became cold while its zone was
// evacuated, and one of whose earlier pings arrives late.
func runCold(r *record, trouble bool) (verdict, error) {
	config := strings.Replace(ledgerConfig, `"coldPerS":16.0`, fmt.Sprintf(`"coldPerS":%g`, coldRate), 1)
	f, backends, err := startLedger(config, func(b *backend, c net.Conn, q *http.Request, _ string) {
		if n := b.coldArrivals(); float64(n) > crashFactor*coldBound {
			r.log("%s: %d requests in one second while it is cold: it crashes", b.id, n)
			b.crash()
			return
		}
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
	cold, err := failBack(f, backends[0], r, trouble)
	close(stop)
	clients.Wait()
	if err != nil {
		return nil, err
	}
	return checkCold(backends[0], cold, r), nil
}

// failBack evacuates the zone of a backend server and takes that back once the backend
// server has become cold. It returns the acknowledgement of the ping that says so, at the
// end of the cold period.
func failBack(f *fleet, b *backend, r *record, trouble bool) (*acknowledgement, error) {
	time.Sleep(time.Second)
	path := "/evacuate/" + coldZone
	if _, err := f.order(0, "POST", path, ""); err != nil {
		return nil, err
	}
	r.log("operator: POST %s acknowledged", path)
	time.Sleep(2 * time.Second)
	late := b.announcement()
	r.log("%s: ping: %s", b.id, late)
	b.coldUntil.Store(time.Now().Add(coldTime).UnixMilli())
	cold, err := b.report("ready")
	if err != nil {
		return nil, err
	}
	r.log("%s: acknowledged by %s: %s", b.id, cold.by, cold.text)
	if trouble {
		time.Sleep(lateAfter)
		m := f.controls[4]
		a := call("PUT", f.address(m, "control"), "/instances/"+b.id, late, pingTimeout)
		r.log("%s: the earlier ping arrives late at %s: status %d", b.id, m.name, a.status)
	}
	if _, err := f.order(0, "DELETE", path, ""); err != nil {
		return nil, err
	}
	r.log("operator: DELETE %s acknowledged", path)
	time.Sleep(time.Until(cold.at.Add(coldTime)))
	return cold, nil
}

// checkCold looks for a second of the cold period with too many requests.
func checkCold(b *backend, cold *acknowledgement, r *record) verdict {
	var arrivals []time.Time
	for _, x := range b.requests() {
		if x.at.After(cold.at) && x.at.Before(cold.at.Add(coldTime)) {
			arrivals = append(arrivals, x.at)
		}
	}
	most := 0
	for i, from := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(from) < coldWindow {
				n++
			}
		}
		most = max(most, n)
	}
	r.log("%s got %d requests in the %s after it said that it is cold, at most %d in one second", b.id, len(arrivals), coldTime, most)
	if float64(most) > coldBound {
		return verdict{fmt.Sprintf("FAILBACK: %s got %d requests in one second while it was cold, allowed are %g", b.id, most, coldBound)}
	}
	return nil
}

// coldArrivals returns the requests of the last second, zero if the backend server is not
// cold.
func (b *backend) coldArrivals() int {
	now := time.Now()
	if now.UnixMilli() >= b.coldUntil.Load() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for i := len(b.runs) - 1; i >= 0 && now.Sub(b.runs[i].at) < coldWindow; i-- {
		n++
	}
	return n
}
