package main

import (
	"fmt"
	"net/http"
	"time"
)

// largeStateCase lets the desired state grow by many routes, 350 at a time, as
// big_config does at leadlight-gslb. Nothing else happens.
func largeStateCase(x *run) int {
	const step, ackWithin = 350, 4 * time.Second
	f := x.startFleet(3, 1)
	var routes []route
	add := func(n int) {
		for range n {
			i := len(routes)
			routes = append(routes, route{
				fmt.Sprintf("r-%06d", i), fmt.Sprintf("h%05d.example", i/2), fmt.Sprintf("/p%06d/", i), "safe", "proofroom", 0.4, 1.5, 2,
			})
		}
	}
	add(8)
	services := []string{"proofroom"}
	if !f.order(0, 15*time.Second, http.MethodPut, "/config", desiredState(1, 0, services, routes)) {
		return couldNot
	}
	f.startBackend("proofroom", "i-1", zoneOrder[0], 9, 1500, 20*time.Millisecond)
	f.waitReady()
	time.Sleep(contact)
	steps, grown := 1, 20
	if x.trouble {
		steps, grown = 10, step
	}
	for n := range steps {
		add(grown)
		body := desiredState(n+2, n+1, services, routes)
		// 3 ms more for each route.
		limit := ackWithin + time.Duration(len(routes))*3*time.Millisecond
		began := time.Now()
		if !f.order(n, limit, http.MethodPut, "/config", body) {
			x.say("ACKS: r%d, valid, %d routes, %d bytes, has no acknowledgement after %v", n+2, len(routes), len(body), time.Since(began).Round(time.Millisecond))
			// The operator sends it again for as long as the run lasts.
			if f.order(0, 20*time.Second, http.MethodPut, "/config", body) {
				x.say("r%d is acknowledged at last", n+2)
			}
			return broken
		}
		x.say("r%d, %d routes, %d bytes, is acknowledged after %v", n+2, len(routes), len(body), time.Since(began).Round(time.Millisecond))
		time.Sleep(time.Second)
	}
	return held
}
