package main

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"time"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shfront"
)

// Shows where an entry VM would send a request.
func Example_place() {
	v := shfleet.View{Version: 7, Index: 31, Backends: map[shmodel.BackendServer]shfleet.Backend{}}
	v.Table = shfleet.NewRouteIndex(shfleet.Table{Routes: []shfleet.Route{{
		Name: "audit", Host: "shop", Prefix: "/audit/", Kind: shmodel.Idempotent, Objective: 600, Timeout: 4000, Attempts: 2, Sticky: true,
		Parts: []shfleet.Part{{Service: "s", Weight: 1}},
	}}})
	for id, zone := range map[shmodel.BackendServer]shmodel.FailureDomain{"b1": "east-a", "b2": "east-b", "b3": "west-a"} {
		v.Backends[id] = shfleet.Backend{
			Instance: shfleet.Instance{ID: id, Born: 1}, Service: "s", Zone: zone, Slots: 3, Leaving: id == "b2",
		}
	}
	place := shbalance.Place{VM: "entry-1", Zone: "east-a", Region: "east", Regions: map[shmodel.FailureDomain]shmodel.Region{
		"east-a": "east", "east-b": "east", "west-a": "west",
	}}
	h := &shfront.Handler{
		Place: place, Balancer: shbalance.New(place), View: func() *shfleet.View { return &v },
		Refusing: func() bool { return false }, Logger: slog.New(slog.DiscardHandler),
	}
	h.Balancer.Update(time.Now(), v)
	server := httptest.NewServer(http.HandlerFunc(h.ServePlace))
	defer server.Close()
	run(context.Background(), []string{
		"place", "--entry", server.Listener.Addr().String(), "--host", "shop", "--path", "/audit/7", "--key", "k",
	}, streams{out: os.Stdout, err: os.Stderr})
	// Output:
	// entry VM entry-1 in east-a, table r7, index 31, route audit, idempotent
	//
	// service s, weight 1, utilization 0.00: to b1, least loss
	//   candidate                failure domain   distance                  load    age     wait     trip estimate     loss  warmth
	//   b1                       east-a           same failure domain      0.0/3      -      0ms      0ms    270ms    0.045  primary
	//   b3                       west-a           other region             0.0/3      -      0ms      0ms    900ms    0.920  unseen
	//   b2                       east-b           excluded: leaving
}
