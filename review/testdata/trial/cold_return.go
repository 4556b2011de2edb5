package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// coldPeriod is how long a backend server that has become cold stays so, coldS of its
// service.
const coldPeriod = 3 * time.Second

// coldCounter counts the requests that arrive at backend servers while they are cold.
type coldCounter struct {
	mu   sync.Mutex
	cold map[string][]time.Time // by backend server
	all  int
}

func (c *coldCounter) run(b *backend, _ *http.Request, _ []byte) bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all++
	if b.coldLeft() > 0 {
		c.cold[b.id] = append(c.cold[b.id], now)
	}
	return false
}

// worst returns the most requests that a cold backend server got in one second.
func (c *coldCounter) worst() (id string, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for backend, times := range c.cold {
		slices.SortFunc(times, time.Time.Compare)
		first := 0
		for i, t := range times {
			for t.Sub(times[first]) >= time.Second {
				first++
			}
			if n := i - first + 1; n > most {
				id, most = backend, n
			}
		}
	}
	return id, most
}

// verdict judges the rule FAILBACK.
func (c *coldCounter) verdict() (verdict, error) {
	id, most := c.worst()
	if c.all < 1000 {
		return verdict{}, errors.New("too few requests ran")
	}
	bound := coldPerS*coldOver + coldSlack
	return verdict{
		broken:  float64(most) > bound,
		summary: fmt.Sprintf("a cold backend server %s got up to %d requests in one second; %.0f are allowed", id, most, bound),
	}, nil
}

// coldReturn evacuates a zone, lets its backend servers become cold, and takes the
// evacuation back shortly after. Without the disruption they stay warm. The rule FAILBACK
// must hold.
func coldReturn(ctx context.Context, r *record, trouble bool) (verdict, error) {
	const zone = "hobart-b"
	counter := &coldCounter{cold: map[string][]time.Time{}}
	f, backends, err := smallService(ctx, r, 6, counter.run)
	if err != nil {
		return verdict{}, err
	}
	defer f.stopAll()
	go f.load(ctx, 400, func(i int) request {
		return request{method: http.MethodGet, path: fmt.Sprintf("/leny950/%x", i), wait: 4 * time.Second}
	}, nil)
	steps := []func() error{
		func() error { return pause(ctx, 6*time.Second) },
		func() error { return f.order(ctx, 2, http.MethodPost, "/evacuate/"+zone, nil) },
		func() error { return pause(ctx, 8*time.Second) },
		func() error {
			for _, b := range backends {
				if b.zone == zone && trouble {
					r.say("backend %s becomes cold", b.id)
					b.setCold(coldPeriod)
				}
			}
			return pause(ctx, 300*time.Millisecond)
		},
		func() error { return f.order(ctx, 1, http.MethodDelete, "/evacuate/"+zone, nil) },
		func() error { return pause(ctx, 8*time.Second) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return verdict{}, err
		}
	}
	return counter.verdict()
}

// smallService starts the small deployment with one safe route to a service with some
// backend servers, and waits until it is ready.
func smallService(ctx context.Context, r *record, count int, onRun func(*backend, *http.Request, []byte) bool) (*fleet, []*backend, error) {
	f, err := newFleet(r, append([]string{"hobart-a"}, zones...))
	if err != nil {
		return nil, nil, err
	}
	backends, err := f.startService(ctx, count, onRun)
	if err != nil {
		f.stopAll()
		return nil, nil, err
	}
	return f, backends, nil
}

func (f *fleet) startService(ctx context.Context, count int, onRun func(*backend, *http.Request, []byte) bool) ([]*backend, error) {
	if err := f.startAll(); err != nil {
		return nil, err
	}
	var backends []*backend
	for i := range count {
		b := &backend{
			fleet: f, service: "huvo11a", zone: zones[i%len(zones)], id: fmt.Sprintf("i-%02d", i),
			address: f.newAddress() + ":8080", slots: 9, work: 40 * time.Millisecond, onRun: onRun,
		}
		if err := startBackend(ctx, b); err != nil {
			return nil, err
		}
		backends = append(backends, b)
	}
	config := desiredState("r1", "0", []string{"huvo11a"}, []route{
		{name: "r-u3fexd9", kind: "safe", prefix: "/leny950/", service: "huvo11a", sloS: 0.6, timeoutS: 4, attempts: 2},
	})
	if err := f.order(ctx, 0, http.MethodPut, "/config", config); err != nil {
		return nil, err
	}
	return backends, f.awaitReady(ctx)
}
