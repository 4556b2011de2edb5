package main

import (
	"fmt"
	"io/fs"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"
)

// changesCase sends some hundred changes of a desired state with many routes. The
// platform ends a control daemon that uses more than its memory and starts it
// again.
func changesCase(x *run) int {
	const changes, ackWithin = 400, 4 * time.Second
	f := x.startFleet(3, 1)
	count := 8
	if x.trouble {
		count = 2050
	}
	var routes []route
	for i := range count {
		routes = append(routes, route{
			fmt.Sprintf("r-%06d", i), fmt.Sprintf("h%05d.example", i/2), fmt.Sprintf("/p%06d/", i), "safe", "proofroom", 0.4, 1.5, 2, false,
		})
	}
	services := []string{"proofroom"}
	if !f.order(0, 20*time.Second, http.MethodPut, "/config", desiredState(1, 0, services, routes)) {
		return couldNot
	}
	f.startBackend("proofroom", "i-1", zoneOrder[0], 9, 1500, 20*time.Millisecond)
	f.waitReady()
	ends := make([]atomic.Int32, len(f.controls))
	for i, d := range f.controls {
		go f.enforceMemory(d, coreMemoryMB, &ends[i])
	}
	limit := ackWithin + time.Duration(count)*3*time.Millisecond
	acked, unacked := 1, 0
	began := time.Now()
	for n := 0; n < changes && time.Since(began) < 100*time.Second && !endedOften(ends); {
		if n%25 == 0 {
			for _, d := range f.controls {
				x.say("%s: %d MB of memory, %d MB on disk", d.name, residentMB(d.pid()), folderMB(filepath.Join(f.folder, d.name)))
			}
		}
		// Two operators build on the same version.
		routes[n%count].timeout = 1.5 + float64(n%7)/10
		one := desiredState(n+2, n+1, services, routes)
		routes[(n+1)%count].timeout = 1.4
		other := desiredState(n+2, n+1, services, routes)
		sent := time.Now()
		first := make(chan bool, 1)
		go func() { first <- f.order(n, limit, http.MethodPut, "/config", one) }()
		second := f.order(n+1, limit, http.MethodPut, "/config", other)
		if won := <-first; won || second {
			n++
			acked = n + 1
			continue
		}
		// The same changes are sent again.
		unacked++
		x.say("ACKS: r%d, valid, %d bytes, has no acknowledgement after %v", n+2, len(one), time.Since(sent).Round(time.Millisecond))
	}
	for i, d := range f.controls {
		x.say("%s: ended %d times for lack of memory, %d MB on disk", d.name, ends[i].Load(), folderMB(filepath.Join(f.folder, d.name)))
	}
	x.say("newest acknowledged version: r%d; times that a valid change had no acknowledgement in time: %d", acked, unacked)
	switch {
	case endedOften(ends):
		return broken
	case acked < 100:
		return couldNot
	}
	return held
}

// endedOften reports whether processes ended three times on half of the core.
func endedOften(ends []atomic.Int32) bool {
	often := 0
	for i := range ends {
		if ends[i].Load() >= 3 {
			often++
		}
	}
	return 2*often >= len(ends)
}

// folderMB returns the size of all files below a folder in MiB.
func folderMB(folder string) int {
	total := int64(0)
	_ = filepath.WalkDir(folder, func(_ string, e fs.DirEntry, err error) error {
		if err == nil && !e.IsDir() {
			if info, err := e.Info(); err == nil {
				total += info.Size()
			}
		}
		return nil
	})
	return int(total >> 20)
}
