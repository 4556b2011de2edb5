package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"sequoiahollow/internal/shcrowd"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
)

// floodedService is a service whose only backend server floods.
const floodedService shmodel.Service = "methodology-library"

// Guards against a process that keeps what a faulty backend server sends without end, runs
// out of memory and ends the requests of other callers with it.
func TestFloodingBackend(t *testing.T) {
	const (
		clients = 600
		fds     = 6000
		// After slowStart the backend server takes the requests of all clients: a new one
		// gets its slots evenly within 10 s.
		slots     = 8000
		slowStart = 1500 * time.Millisecond
	)
	// Equal requests would run one at a time once one of them has broken a connection.
	const head = "GET /guidance/%d HTTP/1.1\r\nHost: a\r\n%s: %s\r\n%s: 9000\r\n\r\n"
	for name, f := range shcrowd.Floods(shwire.HeaderRequestID + ": {id}\r\n") {
		t.Run(name, func(t *testing.T) {
			// The process passes a body on, and the clients don't read it.
			f.Burst = 512 << 10
			d := startCrowdDaemonWith(t, fds)
			d.announce(shcrowd.StartFlood(t, f, shwire.HeaderRequestID), slots)
			time.Sleep(slowStart)
			crowd := make([]shcrowd.Client, clients)
			for i := range crowd {
				text := fmt.Sprintf(head, i, shwire.HeaderService, floodedService, shwire.HeaderTimeout)
				crowd[i] = shcrowd.Client{Address: d.settings.CallerAddress, Head: text}
			}
			shcrowd.Hold(t, crowd)
			d.process.Check(crowdMemoryMB, fds)
			d.serves()
			d.process.Check(crowdMemoryMB, fds)
		})
	}
}

// announce announces a backend server of floodedService until the test ends, and waits until
// its owner has a lease for it.
func (d *crowdDaemon) announce(address string, slots int) {
	d.t.Helper()
	a := shwire.Announcement{
		BackendServer: "flood-1", Service: floodedService, Address: address, Place: d.settings.Place(),
		Incarnation: 1, Slots: slots, Connections: 2 * slots,
	}
	send := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		body, err := json.Marshal(a)
		if err != nil {
			return false
		}
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.settings.ServerAddress+shwire.PathAnnouncements, bytes.NewReader(body))
		if err != nil {
			return false
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var answer shwire.AnnouncementAnswer
		if json.NewDecoder(response.Body).Decode(&answer) != nil {
			return false
		}
		a.Nonce = answer.Nonce
		return answer.LeaseMS > 0
	}
	waitFor(d.t, "lease", send)
	done := make(chan struct{})
	d.t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(300 * time.Millisecond):
				send()
			}
		}
	}()
}
