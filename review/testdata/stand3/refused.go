package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	ledgerHost = "pay.example"
	ledgerPath = "/issue/"
	// payments is the number of payments, each of which a client sends once, and once more
	// only after a promise that it has not run.
	payments = 240
	// A failing backend server fails greyFails of each greyOf requests.
	greyFails = 2
	greyOf    = 5
	// payers are the clients.
	payers       = 6
	ledgerWork   = 20 * time.Millisecond
	payTimeout   = 3 * time.Second
	maxRetryWait = payTimeout / 3
)

// ledgerConfig is a desired state with one unsafe route.
const ledgerConfig = `{"version":"r1","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"baseVersion":"r0",
"listeners":[{"host":"pay.example","rules":[{"name":"issue","kind":"unsafe","sloS":0.4,"priority":0,"sticky":false,"match":{"pathPrefix":"/issue/"},
"action":{"service":"ledger","timeoutS":3,"attempts":2,"allowedRegions":[]}}]}],
"clusters":[{"name":"ledger","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"coldS":3.0,"coldPerS":16.0}]}`

// startLedger starts the deployment, with a desired state and eight backend servers of the ledger.
func startLedger(config string, serve func(b *backend, c net.Conn, r *http.Request, body string)) (*fleet, []*backend, error) {
	f, err := newFleet("hobart-a", "launceston-a", "melbourne-a")
	if err != nil {
		return nil, nil, err
	}
	if err := f.start(); err != nil {
		return f, nil, err
	}
	var backends []*backend
	for i := range 8 {
		zone := []string{"hobart-a", "launceston-a", "melbourne-a", "hobart-b"}[i%4]
		b, err := newBackend(f.net+".200:0", fmt.Sprintf("i-ledger%d", i+1), "ledger", zone, 3)
		if err != nil {
			return f, backends, err
		}
		b.serve = serve
		backends = append(backends, b)
		go b.beat(f, i)
	}
	if _, err := f.order(0, "PUT", "/config", config); err != nil {
		return f, backends, err
	}
	if err := f.awaitReady(); err != nil {
		return f, backends, err
	}
	time.Sleep(2 * heartbeat)
	return f, backends, nil
}

// runRefused checks REFUSED while one of eight backend servers fails two in
// five of the requests that it has run, with a status that clients take as a promise.
func runRefused(r *record, trouble bool) (verdict, error) {
	f, backends, err := startLedger(ledgerConfig, func(b *backend, c net.Conn, q *http.Request, _ string) {
		time.Sleep(ledgerWork)
		id := q.Header.Get("X-Request-Id")
		n := len(b.requests())
		if trouble && b.id == "i-ledger1" && n%greyOf < greyFails {
			r.log("%s has run %s and fails: 503 with its signature, without X-Not-Executed", b.id, id)
			b.answer(c, id, http.StatusServiceUnavailable, "")
			return
		}
		b.answer(c, id, http.StatusOK, "")
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
	replies := payAll(f, r)
	served := 0
	for _, a := range replies {
		if a.status == http.StatusOK {
			served++
		}
	}
	var broken verdict
	runs := map[string]int{}
	for _, b := range backends {
		for _, x := range b.requests() {
			runs[x.path]++
			a := replies[x.id]
			switch a.status {
			case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
				broken = append(broken, fmt.Sprintf("REFUSED: request %s (unsafe, %s) ran at %s and its client got %d", x.id, x.path, x.backend, a.status))
			}
		}
	}
	twice := 0
	for path, n := range runs {
		if n > 1 {
			twice++
			r.log("%s ran %d times, once for each attempt of its client", path, n)
		}
	}
	r.log("%d payments, %d served, %d ran more than once", payments, served, twice)
	if served < payments/2 {
		return nil, fmt.Errorf("only %d of %d payments were served", served, payments)
	}
	return broken, nil
}

// payAll lets some clients make all payments and returns the reply to each attempt by ID.
func payAll(f *fleet, r *record) map[string]reply {
	var mu sync.Mutex
	replies := map[string]reply{}
	var clients sync.WaitGroup
	for i := range payers {
		clients.Go(func() {
			for n := i; n < payments; n += payers {
				for _, a := range pay(f, r, n) {
					mu.Lock()
					replies[a.id] = a
					mu.Unlock()
				}
			}
		})
	}
	clients.Wait()
	return replies
}

// pay makes one payment. Its client sends it again once, under another ID, if the answer
// promises that it has not run, after the time that the answer states.
func pay(f *fleet, r *record, n int) []reply {
	entry := f.address(f.entries[n%len(f.entries)], "entry")
	path := fmt.Sprintf("%spayment-%d", ledgerPath, n)
	var replies []reply
	for attempt := range 2 {
		a := ask(entry, ledgerHost, "PUT", path, newID(), fmt.Sprintf("pay farmer %d", n), payTimeout)
		replies = append(replies, a)
		r.log("client: %s attempt %d as %s: status %d, signature %q, Retry-After %q", path, attempt+1, a.id, a.status, a.signature, a.retryAfter)
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			break
		}
		seconds, _ := strconv.ParseFloat(a.retryAfter, 64)
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), maxRetryWait))
	}
	return replies
}
