package main

import (
	"fmt"
	"net/http"
	"time"
)

// hotObjectCase crashes a backend server for some seconds while several clients
// look the same object up there. Lookups of other objects go on beside them.
func hotObjectCase(x *run) int {
	f := x.startFleet(3, 2)
	routes := []route{
		{"kiln", "shop.example", "/kiln/", "safe", "kilnboard", 0.2, 1, 2, false},
		{"view", "shop.example", "/view/", "safe", "proofroom", 0.4, 1.5, 2, false},
	}
	if !f.order(0, 15*time.Second, http.MethodPut, "/config", desiredState(1, 0, []string{"kilnboard", "proofroom"}, routes)) {
		return couldNot
	}
	var boards []*backend
	for i, z := range zoneOrder {
		boards = append(boards, f.startBackend("kilnboard", fmt.Sprintf("k-%d", i+1), z, 9, 400, 150*time.Millisecond))
		f.startBackend("proofroom", fmt.Sprintf("p-%d", i+1), z, 9, 1500, 150*time.Millisecond)
	}
	f.waitReady()
	board := func(int, int) (path, key string) { return "/kiln/board", "1" }
	t := &traffic{run: x, pause: 200 * time.Millisecond, limit: [2]time.Duration{time.Second, 2500 * time.Millisecond}}
	t.path[0], t.path[1] = board, anyObject("/view/")
	t.start(12)
	time.Sleep(1500 * time.Millisecond)
	if x.trouble {
		busiest := mostRequests(boards, 3)
		busiest.crash()
		time.Sleep(4500 * time.Millisecond)
		busiest.restart()
	}
	time.Sleep(60 * time.Second)
	return t.end()
}

// mostRequests waits until a backend server runs at least the given number of
// requests, and returns it.
func mostRequests(list []*backend, least int) *backend {
	for range 20000 {
		for _, b := range list {
			b.mu.Lock()
			n := b.running
			b.mu.Unlock()
			if n >= least {
				return b
			}
		}
		time.Sleep(time.Millisecond)
	}
	panic(fmt.Errorf("no backend server ran %d requests at a time", least))
}
