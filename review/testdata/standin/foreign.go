package main

import (
	"fmt"
	"net/http"
	"time"
)

// foreignPingCase sends one ping of another writer for each backend server of a
// service: its service is none of the desired state, its address is in use.
func foreignPingCase(x *run) int {
	f := x.startFleet(3, 2)
	routes := []route{
		{"pay", "shop.example", "/pay/", "unsafe", "depositdesk", 0.5, 2, 2, false},
		{"view", "shop.example", "/view/", "safe", "proofroom", 0.4, 1.5, 2, false},
	}
	if !f.order(0, 15*time.Second, http.MethodPut, "/config", desiredState(1, 0, []string{"depositdesk", "proofroom"}, routes)) {
		return couldNot
	}
	var desks []*backend
	for i, z := range zoneOrder {
		desks = append(desks, f.startBackend("depositdesk", fmt.Sprintf("d-%d", i+1), z, 8, 1500, 60*time.Millisecond))
		f.startBackend("proofroom", fmt.Sprintf("p-%d", i+1), z, 9, 1500, 60*time.Millisecond)
	}
	f.waitReady()
	t := &traffic{run: x, pause: 150 * time.Millisecond, limit: [2]time.Duration{2500 * time.Millisecond, 2500 * time.Millisecond}}
	t.path[0], t.path[1] = anyObject("/pay/"), anyObject("/view/")
	t.start(4)
	time.Sleep(1500 * time.Millisecond)
	if x.trouble {
		for i, b := range desks {
			b.mu.Lock()
			body := fmt.Sprintf(
				`{"address":%q,"born":%d,"info":{"service":"unnamed","version":"v1","zone":%q,"concurrency":1},"status":{"state":"ready","seq":1,"coldLeftS":0}}`,
				b.address, time.Now().UnixMilli(), b.zone)
			b.mu.Unlock()
			status, _ := once(f.controls[i], http.MethodPut, fmt.Sprintf("/instances/other-%d", i+1), []byte(body))
			x.say("another writer: ping of other-%d at %s for the address of %s: %d", i+1, f.controls[i].name, b.id, status)
		}
	}
	for _, b := range desks {
		b.pings.Store(0)
	}
	time.Sleep(60 * time.Second)
	for _, b := range desks {
		x.say("backend %s: %d pings acknowledged meanwhile", b.id, b.pings.Load())
	}
	return t.end()
}
