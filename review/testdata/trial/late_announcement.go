package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// lateAnnouncement holds up one announcement of a backend server on its way to a control
// VM. The backend server becomes cold and says so in its next announcement, to another
// control VM; then the earlier one arrives. The rule FAILBACK must hold.
func lateAnnouncement(ctx context.Context, r *record, trouble bool) (verdict, error) {
	counter := &coldCounter{cold: map[string][]time.Time{}}
	f, backends, err := smallService(ctx, r, 4, counter.run)
	if err != nil {
		return verdict{}, err
	}
	defer f.stopAll()
	late := f.controls[1]
	way, err := newLink(ctx, f.newAddress()+":8649", late.address(controlPort), operatorDelay)
	if err != nil {
		return verdict{}, err
	}
	go f.load(ctx, 400, func(i int) request {
		return request{method: http.MethodGet, path: fmt.Sprintf("/leny950/%x", i), wait: 4 * time.Second}
	}, nil)
	if err := pause(ctx, 8*time.Second); err != nil {
		return verdict{}, err
	}
	b := backends[0]
	b.stopBeating()
	// The next announcement goes to the control VM whose link is cut.
	way.setCut(trouble)
	if acknowledged := b.announceAt(ctx, late.name, way.address); !acknowledged != trouble {
		return verdict{}, fmt.Errorf("the announcement to %s was acknowledged: %v", late.name, acknowledged)
	}
	r.say("backend %s becomes cold", b.id)
	b.setCold(coldPeriod)
	if !b.announce(ctx, 2) {
		return verdict{}, fmt.Errorf("the announcement of %s was not acknowledged", b.id)
	}
	go func() {
		if pause(ctx, heartbeat) == nil {
			b.beat()
		}
	}()
	if err := pause(ctx, 700*time.Millisecond); err != nil {
		return verdict{}, err
	}
	way.setCut(false)
	r.say("the link to %s is whole", late.name)
	if err := pause(ctx, 8*time.Second); err != nil {
		return verdict{}, err
	}
	return counter.verdict()
}
