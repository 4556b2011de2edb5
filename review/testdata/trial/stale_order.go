package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// operatorDelay is the one-way delay of the operator's link to a control VM, that of
// clients on the Huon Ridge sheet.
const operatorDelay = 8 * time.Millisecond

// staleOrder cuts the operator's way to one control VM for some seconds. Meanwhile the
// operator takes an evacuation back, asking that VM first, and evacuates the zone again.
// The first call arrives after the cut. The rule EVAC must hold for the second evacuation.
func staleOrder(ctx context.Context, r *record, trouble bool) (verdict, error) {
	const (
		zone = "hobart-b"
		// first is the control VM that the operator asks first.
		first, other = 1, 2
	)
	f, err := newFleet(r, append([]string{"hobart-a"}, zones...))
	if err != nil {
		return verdict{}, err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	for _, m := range f.controls {
		if m.operatorLink, err = newLink(ctx, f.newAddress()+":8649", m.address(controlPort), operatorDelay); err != nil {
			return verdict{}, err
		}
	}
	var mu sync.Mutex
	arrivals := map[string][]time.Time{} // by zone
	for i := range 12 {
		b := &backend{
			fleet: f, service: "huvo11a", zone: zones[i%len(zones)], id: fmt.Sprintf("i-%02d", i),
			address: f.newAddress() + ":8080", slots: 8, work: 40 * time.Millisecond,
		}
		b.onRun = func(b *backend, _ *http.Request, _ []byte) bool {
			mu.Lock()
			defer mu.Unlock()
			arrivals[b.zone] = append(arrivals[b.zone], time.Now())
			return false
		}
		if err := startBackend(ctx, b); err != nil {
			return verdict{}, err
		}
	}
	config := desiredState("r1", "0", []string{"huvo11a"}, []route{
		{name: "r-u3fexd9", kind: "safe", prefix: "/leny950/", service: "huvo11a", sloS: 0.6, timeoutS: 4, attempts: 2},
	})
	if err := f.order(ctx, 0, http.MethodPut, "/config", config); err != nil {
		return verdict{}, err
	}
	if err := f.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	go f.load(ctx, 60, func(i int) request {
		return request{method: http.MethodGet, path: fmt.Sprintf("/leny950/%x", i), wait: 4 * time.Second}
	}, nil)
	steps := []func() error{
		func() error { return pause(ctx, 6*time.Second) },
		func() error { return f.order(ctx, other, http.MethodPost, "/evacuate/"+zone, nil) },
		func() error { return pause(ctx, 3*time.Second) },
		func() error { f.controls[first].operatorLink.setCut(trouble); return nil },
		func() error { return f.order(ctx, first, http.MethodDelete, "/evacuate/"+zone, nil) },
		func() error { return pause(ctx, 1500*time.Millisecond) },
		func() error { return f.order(ctx, other, http.MethodPost, "/evacuate/"+zone, nil) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return verdict{}, err
		}
	}
	acknowledged := time.Now()
	if err := pause(ctx, 1500*time.Millisecond); err != nil {
		return verdict{}, err
	}
	f.controls[first].operatorLink.setCut(false)
	r.say("the way of the operator to %s is whole", f.controls[first].name)
	bound := acknowledged.Add(evacuateS)
	if err := pause(ctx, time.Until(bound)+10*time.Second); err != nil {
		return verdict{}, err
	}
	mu.Lock()
	defer mu.Unlock()
	late, total := 0, 0
	for z, times := range arrivals {
		for _, t := range times {
			total++
			if z == zone && t.After(bound) {
				late++
			}
		}
	}
	if total < 500 {
		return verdict{}, errors.New("too few requests ran")
	}
	return verdict{broken: late > 0, summary: fmt.Sprintf("%d of %d requests reached backend servers of %s later than %v after the acknowledgement of its evacuation, which was not taken back", late, total, zone, evacuateS)}, nil
}
