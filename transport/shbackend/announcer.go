package shbackend

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiahollow/protocol/shwire"
)

const (
	announceEvery   = 500 * time.Millisecond
	announceTimeout = 400 * time.Millisecond
	maxAnswerBytes  = 64 << 10
	// defaultLease is the assumed lease of an owner that has not answered yet.
	defaultLease = 1500 * time.Millisecond
	// maxClockDrift is the largest permitted difference in the rate of two clocks,
	// as a share.
	maxClockDrift = 0.02
)

// announcer posts announcements to one owner at a time: the entry VM that holds
// a lease on the backend server. It switches to another owner only when the lease
// of the last one has expired by the slowest permitted clock, or when the last
// one released it.
type announcer struct {
	server *Server
	client http.Client
	done   chan struct{}
	// due has a value when an announcement is due before the next tick.
	due chan struct{}

	owners  []string
	owner   int
	nonce   string
	lease   time.Duration
	sent    time.Time
	failing bool
	samples []loadSample
}

type loadSample struct {
	at       time.Time
	inFlight int
}

func (a *announcer) start(s *Server) {
	a.server = s
	a.client.Timeout = announceTimeout
	a.client.Transport = &http.Transport{IdleConnTimeout: 5 * time.Second}
	a.done = make(chan struct{})
	a.due = make(chan struct{}, 1)
	a.owners = rankOwners(string(s.config.BackendServer), s.config.Owners)
	a.lease = defaultLease
	go a.loop()
}

// rankOwners orders owners by rendezvous hashing, so that the backend servers are
// distributed over the entry VMs.
func rankOwners(name string, owners []string) []string {
	weight := func(owner string) uint64 { return xxhash.Sum64String(name + "\x00" + owner) }
	return slices.SortedFunc(slices.Values(owners), func(a, b string) int {
		return cmp.Compare(weight(b), weight(a))
	})
}

func (a *announcer) stop() {
	select {
	case <-a.done:
	default:
		close(a.done)
	}
}

func (a *announcer) announceNow() {
	select {
	case a.due <- struct{}{}:
	default:
	}
}

func (a *announcer) loop() {
	t := time.NewTicker(announceEvery)
	defer t.Stop()
	for {
		again := a.step(time.Now())
		if again {
			continue
		}
		select {
		case <-a.done:
			return
		case <-a.due:
		case <-t.C:
		}
	}
}

// step announces once and reports whether the next announcement is due at once:
// after the first answer of an owner, which gives a nonce but no lease, and after
// a release.
func (a *announcer) step(now time.Time) bool {
	if len(a.owners) == 0 {
		return false
	}
	wait := time.Duration(float64(a.lease) * (1 + maxClockDrift))
	// Without a nonce the owner holds no lease.
	if a.failing && (a.nonce == "" || now.Sub(a.sent) >= wait) {
		a.switchTo(a.owner + 1)
	}
	first := a.nonce == ""
	if !a.failing || first {
		a.sent = now
	}
	answer, err := a.post(a.owners[a.owner%len(a.owners)])
	if err != nil {
		a.failing = true
		return false
	}
	a.failing = false
	a.sent = now
	a.nonce = answer.Nonce
	if answer.LeaseMS > 0 {
		a.lease = time.Duration(answer.LeaseMS) * time.Millisecond
	}
	if answer.Released && len(answer.Owners) > 0 {
		a.owners = answer.Owners
		a.switchTo(0)
		return !a.stopped()
	}
	if len(answer.Owners) > 0 {
		a.mergeOwners(answer.Owners)
	}
	return first && !a.stopped()
}

func (a *announcer) stopped() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

func (a *announcer) switchTo(i int) {
	a.owner = i % len(a.owners)
	a.nonce = ""
	a.failing = false
}

// mergeOwners replaces the list of owners. The current owner stays the first.
func (a *announcer) mergeOwners(owners []string) {
	current := a.owners[a.owner%len(a.owners)]
	merged := []string{current}
	for _, o := range owners {
		if o != current {
			merged = append(merged, o)
		}
	}
	a.owners = merged
	a.owner = 0
}

func (a *announcer) post(owner string) (shwire.AnnouncementAnswer, error) {
	var answer shwire.AnnouncementAnswer
	body, err := json.Marshal(a.announcement())
	if err != nil {
		return answer, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+owner+shwire.PathAnnouncements, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("announcement answered with status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer)
	return answer, err
}

func (a *announcer) announcement() shwire.Announcement {
	s := a.server
	c := s.config
	s.mu.Lock()
	inFlight := s.inFlight
	s.mu.Unlock()
	inFlight = a.reportedInFlight(time.Now(), inFlight)
	load := 0.0
	if c.Slots > 0 {
		load = float64(inFlight) / float64(c.Slots)
	}
	return shwire.Announcement{
		BackendServer: c.BackendServer, Service: c.Service, Address: c.Address, Place: c.Place,
		Incarnation: c.Incarnation, Slots: c.Slots, Connections: c.Connections,
		InFlight: inFlight, Load: load, Cold: s.cold(), Leaving: s.leaving.Load(), Nonce: a.nonce,
	}
}

// reportedInFlight returns the number of requests in flight to announce, which
// Faults may change.
func (a *announcer) reportedInFlight(now time.Time, inFlight int) int {
	f := a.server.config.Faults
	if f.ReportIdle {
		return 0
	}
	if f.ReportLag == 0 {
		return inFlight
	}
	a.samples = append(a.samples, loadSample{at: now, inFlight: inFlight})
	for len(a.samples) > 1 && now.Sub(a.samples[1].at) >= f.ReportLag {
		a.samples = a.samples[1:]
	}
	return a.samples[0].inFlight
}
