package main

import (
	"fmt"
	"syscall"
	"time"
)

// freezeFor is how long a machine stands still. The sheet of leadlight-gslb has up to
// 3.5 s for edge machines.
const freezeFor = 3300 * time.Millisecond

// freezeCase lets the two edge machines stand still for some seconds, one at a time,
// twice each. Nothing else happens.
func freezeCase(x *run) int {
	f := x.startFleet(3, 2)
	routes := []route{
		{"lodge", "shop.example", "/lodge/", "unsafe", "audit-gateway", 0.8, 1.2, 2, true},
		{"look", "shop.example", "/look/", "safe", "sampling-records", 0.6, 4, 2, true},
	}
	if !f.order(0, 15*time.Second, "PUT", "/config", desiredState(1, 0, []string{"audit-gateway", "sampling-records"}, routes)) {
		return couldNot
	}
	for i, z := range zoneOrder {
		f.startBackend("audit-gateway", fmt.Sprintf("a-%d", i+1), z, 24, 1500, 200*time.Millisecond)
		f.startBackend("sampling-records", fmt.Sprintf("s-%d", i+1), z, 24, 1500, 200*time.Millisecond)
	}
	f.waitReady()
	t := &traffic{run: x, limit: [2]time.Duration{6 * time.Second, 4 * time.Second}}
	t.path[0], t.path[1] = anyObject("/lodge/"), anyObject("/look/")
	t.startEvenly(10 * time.Millisecond)
	time.Sleep(2 * time.Second)
	for range 2 {
		for _, d := range f.entries {
			if x.trouble {
				x.say("%s stands still", d.name)
				d.signal(syscall.SIGSTOP)
			}
			time.Sleep(freezeFor)
			if x.trouble {
				d.signal(syscall.SIGCONT)
				x.say("%s goes on", d.name)
			}
			time.Sleep(1500 * time.Millisecond)
		}
	}
	time.Sleep(60 * time.Second)
	for _, d := range f.entries {
		x.say("%s says that it is ready: %t", d.name, d.ready())
	}
	return t.end()
}
