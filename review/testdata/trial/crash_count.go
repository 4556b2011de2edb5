package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The doses of lost answers are the largest of the Huon Ridge site file: for 4 s, six in
// ten backend servers of a service lose the answers to 0.4 of what they run.
const (
	lostServers  = 0.6
	lostShare    = 0.4
	lostFor      = 4 * time.Second
	restartAfter = 3 * time.Second
)

// lossiness says what a backend server has to do with lost answers.
type lossiness int

const (
	neverLossy     lossiness = iota // of another service
	spared                          // of the service, but loses none
	sometimesLossy                  // loses answers at times
)

// crashCount lets one request crash each backend server that runs it, and come again
// every 2 s. Answers of another service are lost for some seconds, several times. The
// rule BUDGET on requests that crash backend servers must hold.
func crashCount(ctx context.Context, r *record, trouble bool) (verdict, error) {
	const deadly = "/leny950/2f"
	var (
		mu       sync.Mutex
		arrivals []time.Time // of the request that crashes
		losing   atomic.Bool
		lost     atomic.Int64
		starts   atomic.Int64
	)
	f, err := newFleet(r, append([]string{"hobart-a"}, zones...))
	if err != nil {
		return verdict{}, err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	var start func(service, zone, address string, lossy lossiness, restarted bool) error
	start = func(service, zone, address string, lossy lossiness, restarted bool) error {
		b := &backend{
			fleet: f, service: service, zone: zone, id: fmt.Sprintf("i-%02d", starts.Add(1)), address: address, slots: 9, work: 40 * time.Millisecond,
		}
		if restarted {
			b.setCold(coldPeriod)
		}
		if lossy != neverLossy {
			// Without the share that loses answers the service would be short of slots.
			b.work = 250 * time.Millisecond
		}
		b.onRun = func(_ *backend, q *http.Request, _ []byte) bool {
			if q.URL.Path != deadly {
				return false
			}
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
			go func() {
				if pause(ctx, restartAfter) == nil {
					if err := start(service, zone, address, lossy, true); err != nil {
						r.say("backend server not restarted: %v", err)
					}
				}
			}()
			return true
		}
		if lossy == sometimesLossy {
			b.loseAnswer = func() bool {
				if !losing.Load() || rand.Float64() >= lostShare {
					return false
				}
				lost.Add(1)
				return true
			}
		}
		return startBackend(ctx, b)
	}
	for i := range 12 {
		if err := start("huvo11a", zones[i%len(zones)], f.newAddress()+":8080", neverLossy, false); err != nil {
			return verdict{}, err
		}
	}
	for i := range 10 {
		lossy := spared
		if float64(i) < lostServers*10 {
			lossy = sometimesLossy
		}
		if err := start("wuno96b", zones[i%len(zones)], f.newAddress()+":8080", lossy, false); err != nil {
			return verdict{}, err
		}
	}
	config := desiredState("r1", "0", []string{"huvo11a", "wuno96b"}, []route{
		{name: "r-u3fexd9", kind: "safe", prefix: "/leny950/", service: "huvo11a", sloS: 0.6, timeoutS: 4, attempts: 2},
		{name: "r-dnn2ctn", kind: "unsafe", prefix: "/puka111/", service: "wuno96b", sloS: 0.8, timeoutS: 2, attempts: 2},
	})
	if err := f.order(ctx, 0, http.MethodPut, "/config", config); err != nil {
		return verdict{}, err
	}
	if err := f.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	go f.load(ctx, 40, func(i int) request {
		return request{method: http.MethodGet, path: fmt.Sprintf("/leny950/a%x", i), wait: 4 * time.Second}
	}, nil)
	go f.load(ctx, 300, func(i int) request {
		return request{method: http.MethodPost, path: fmt.Sprintf("/puka111/%x", i), body: fmt.Sprintf("lodgement %d\n", i), wait: 2 * time.Second}
	}, nil)
	if err := pause(ctx, 6*time.Second); err != nil {
		return verdict{}, err
	}
	r.say("the request that crashes backend servers comes every 2 s")
	go f.load(ctx, 0.5, func(int) request {
		return request{method: http.MethodGet, path: deadly, key: "17", wait: 4 * time.Second}
	}, nil)
	if err := pause(ctx, 10*time.Second); err != nil {
		return verdict{}, err
	}
	for range 10 {
		losing.Store(trouble)
		if err := pause(ctx, lostFor); err != nil {
			return verdict{}, err
		}
		losing.Store(false)
		r.say("%d answers have been lost", lost.Load())
		if err := pause(ctx, 1500*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	if err := pause(ctx, 10*time.Second); err != nil {
		return verdict{}, err
	}
	mu.Lock()
	defer mu.Unlock()
	if len(arrivals) < 3 {
		return verdict{}, errors.New("the request crashed fewer than three backend servers")
	}
	late := 0
	for _, t := range arrivals {
		if t.After(arrivals[2].Add(contactS)) {
			late++
		}
	}
	return verdict{
		broken:  late > 3,
		summary: fmt.Sprintf("the request reached backend servers %d times, %d times later than %v after it had crashed the third; 3 are allowed", len(arrivals), late, contactS),
	}, nil
}
