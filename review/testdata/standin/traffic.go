package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// traffic is lookups of two kinds of requests by a number of clients each.
type traffic struct {
	run     *run
	path    [2]func(client, n int) (path, key string)
	limit   [2]time.Duration
	pause   time.Duration
	done    chan struct{}
	clients sync.WaitGroup
	asked   [2]atomic.Int32
	served  [2]atomic.Int32
}

func (t *traffic) start(clients int) {
	t.done = make(chan struct{})
	for i := range 2 * clients {
		t.clients.Go(func() { t.client(i, i%2) })
	}
}

func (t *traffic) client(i, kind int) {
	for n := 0; ; n++ {
		select {
		case <-t.done:
			return
		case <-time.After(t.pause):
		}
		t.request(i, n, kind)
	}
}

func (t *traffic) request(i, n, kind int) {
	path, key := t.path[kind](i, n)
	ok := t.run.get(t.run.fleet.entries, i+n, "shop.example", path, key, t.limit[kind])
	t.asked[kind].Add(1)
	if ok {
		t.served[kind].Add(1)
	}
}

// end stops the clients and judges the rule "Starved" for the first kind: it must
// be served at least a quarter as often as all requests.
func (t *traffic) end() int {
	close(t.done)
	t.clients.Wait()
	share := func(served, asked int32) float64 { return float64(served) / float64(max(asked, 1)) }
	first := share(t.served[0].Load(), t.asked[0].Load())
	second := share(t.served[1].Load(), t.asked[1].Load())
	all := share(t.served[0].Load()+t.served[1].Load(), t.asked[0].Load()+t.asked[1].Load())
	t.run.say("served: %.3f of %d requests of the first kind, %.3f of %d of the second, %.3f of all",
		first, t.asked[0].Load(), second, t.asked[1].Load(), all)
	switch {
	case second < 0.5 || t.asked[0].Load() < 50:
		return couldNot
	case first < all/4:
		return broken
	}
	return held
}

// startEvenly sends requests of both kinds at a fixed rate each, whether those
// before are answered or not.
func (t *traffic) startEvenly(every time.Duration) {
	t.done = make(chan struct{})
	for kind := range 2 {
		t.clients.Go(func() {
			ticker := time.NewTicker(every)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-t.done:
					return
				case <-ticker.C:
					t.clients.Go(func() { t.request(n, n, kind) })
				}
			}
		})
	}
}

// anyObject returns paths and keys of many objects.
func anyObject(prefix string) func(client, n int) (path, key string) {
	return func(client, n int) (path, key string) {
		return fmt.Sprintf("%s%d-%d", prefix, client, n), fmt.Sprint(n % 30)
	}
}
