package shentry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/coordination/shreplication"
	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/internal/shusage"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shaccount"
	"sequoiahollow/transport/shentry"
	"sequoiahollow/transport/shview"
)

const benchService shmodel.Service = "records"

// localStores sends records to account stores in this process.
type localStores map[shmodel.VM]*shaccount.Store

func (s localStores) Append(ctx context.Context, target shmodel.VM, q shaccount.AppendRequest) (shaccount.AppendResponse, error) {
	return s[target].HandleAppend(ctx, q)
}

func (s localStores) Release(ctx context.Context, target shmodel.VM, q shaccount.ReleaseRequest) error {
	return s[target].Release(ctx, q)
}

// newEntry returns one of n entry VMs. Its account is kept by two stores in this
// process, which write and sync real files.
func newEntry(b *testing.B, n int) *shentry.Entry {
	b.Helper()
	place := shmodel.Place{Region: "region-0", FailureDomain: "domain-0"}
	config, err := shconfig.Compile(shconfig.Config{
		Objective: shconfig.Headroom,
		Limits:    shconfig.Limits{}.WithDefaults(shconfig.Headroom),
		Regions:   map[shmodel.Region]shconfig.Region{"region-0": {FailureDomains: []shmodel.FailureDomain{"domain-0", "domain-1"}}},
		Services: map[shmodel.Service]shconfig.Service{benchService: {
			Default: shmodel.Idempotent, DefaultTimeoutMS: 5000,
		}},
	})
	assert.NilError(b, err)
	v := &shview.View{Revision: 1, Config: config, Entries: entries(n)}
	accountStores := localStores{}
	var targets []shreplication.Target
	for _, name := range []shmodel.VM{"b", "c"} {
		accountStores[name], err = shaccount.OpenStore(shaccount.StoreOptions{Folder: b.TempDir()})
		assert.NilError(b, err)
		targets = append(targets, shreplication.Target{
			VM: name, Place: shmodel.Place{Region: "region-0", FailureDomain: shmodel.FailureDomain(name)}, Disk: true, Healthy: true,
		})
	}
	outbox := shaccount.NewOutbox(accountStores, shaccount.OutboxOptions{Replication: shreplication.Config{Self: "vm-0", Place: place}})
	outbox.SetTargets(targets)
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		assert.Check(b, outbox.Close(ctx) == nil)
		for _, s := range accountStores {
			assert.Check(b, s.Close() == nil)
		}
	})
	var last shmodel.RequestID
	ids := shaccount.NewAllocator(func(_ context.Context, count uint64) (shrecord.Range, error) {
		r := shrecord.Range{First: last + 1, Last: last + shmodel.RequestID(count)}
		last = r.Last
		return r, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go ids.Run(ctx)
	e := &shentry.Entry{
		VM: "vm-0", Place: place, View: func() *shview.View { return v },
		Control: func(context.Context, shcontrol.Command) (shcontrol.Result, error) {
			return nil, fmt.Errorf("this benchmark has no control VM")
		},
		Account: outbox, IDs: ids, Policy: shrouting.Objectives{}, Observe: func(shrecord.Record, bool) {},
		Log:     slog.New(slog.DiscardHandler),
		Slots:   shentry.NewSlots("salt", 0, func(shslot.CrashSuspected) {}),
		Links:   &shentry.Links{VM: "vm-0", Region: "region-0", Permitted: func() bool { return false }},
		Credits: &shentry.Credits{VM: "vm-0"},
	}
	e.Init()
	go e.Slots.Run(ctx)
	return e
}

// entries returns the heartbeats of n entry VMs: in 3 regions with 6 failure
// domains if n is 7, otherwise in 33 regions with 119 failure domains, the size
// that the system is designed for.
func entries(n int) []shdirectory.Heartbeat {
	regions, domains := 33, 119
	if n == 7 {
		regions, domains = 3, 6
	}
	list := make([]shdirectory.Heartbeat, n)
	for i := range list {
		domain := i % domains
		list[i] = shdirectory.Heartbeat{
			VM:            shmodel.VM(fmt.Sprint("vm-", i)),
			Place:         shmodel.Place{Region: shmodel.Region(fmt.Sprint("region-", domain%regions)), FailureDomain: shmodel.FailureDomain(fmt.Sprint("domain-", domain))},
			CallerAddress: fmt.Sprintf("10.%d.%d.1:7400", i>>8, i&255),
			ServerAddress: fmt.Sprintf("10.%d.%d.1:7401", i>>8, i&255),
			PeerAddress:   fmt.Sprintf("10.%d.%d.1:7402", i>>8, i&255),
		}
	}
	return list
}

// BenchmarkLookupHandler measures the HTTP handler of lookups without a
// network.
func BenchmarkLookupHandler(b *testing.B) {
	for _, n := range []int{7, 5400} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			h := newEntry(b, n).CallerHandler()
			r := httptest.NewRequest(http.MethodGet, shwire.PathEntries+"?service="+string(benchService), nil)
			size := 0
			cpu := shusage.CPU()
			for b.Loop() {
				w := httptest.NewRecorder()
				h.ServeHTTP(w, r)
				size = w.Body.Len()
				if w.Code != http.StatusOK {
					b.Fatal(w.Body)
				}
			}
			b.ReportMetric(float64(b.N)/(shusage.CPU()-cpu).Seconds(), "lookups/core-s")
			b.ReportMetric(float64(size), "answer-B")
		})
	}
}

// BenchmarkAnnouncementHandler measures announcements of 48 backend servers,
// without a network.
func BenchmarkAnnouncementHandler(b *testing.B) {
	h := newEntry(b, 7).ServerHandler()
	bodies := make([]string, 48)
	for i := range bodies {
		bodies[i] = fmt.Sprintf(`{"backendServer":"records-%d","service":"records","address":"10.9.0.1:%d","place":{"region":"region-0","failureDomain":"domain-0"},"incarnation":1,"slots":3,"connections":360,"inFlight":0,"load":0.1}`, i, 1000+i)
	}
	size := 0
	cpu := shusage.CPU()
	for i := 0; b.Loop(); i++ {
		body := bodies[i%len(bodies)]
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, shwire.PathAnnouncements, strings.NewReader(body)))
		size = len(body) + w.Body.Len()
		if w.Code != http.StatusOK {
			b.Fatal(w.Body)
		}
	}
	b.ReportMetric(float64(b.N)/(shusage.CPU()-cpu).Seconds(), "announcements/core-s")
	b.ReportMetric(float64(size), "body-B")
}

// BenchmarkRequest measures idempotent requests through one entry VM to a
// backend server of the test, which answers at once. The CPU time is that of the
// process, so it includes the client, the backend server and both account
// stores; the "direct" runs send the requests straight to the backend server.
func BenchmarkRequest(b *testing.B) {
	e := newEntry(b, 7)
	callers := httptest.NewServer(e.CallerHandler())
	b.Cleanup(callers.Close)
	// shbackend.Server isn't used here: once it has seen 4,096 attempts it scans
	// them at every request, so that the cost of a request grows with b.N.
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(shwire.HeaderRequestID, r.Header.Get(shwire.HeaderRequestID))
		_, _ = io.WriteString(w, "answer")
	}))
	b.Cleanup(backend.Close)
	address := backend.Listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go announce(ctx, e, address)
	for end := time.Now().Add(20 * time.Second); e.Slots.Services()[benchService].Free < 16; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatalf("slots: %v", e.Slots.Services())
		}
	}
	for _, workers := range []int{1, 8} {
		b.Run(fmt.Sprintf("direct/workers=%d", workers), func(b *testing.B) {
			sendRequests(b, workers, address)
		})
		b.Run(fmt.Sprintf("entry/workers=%d", workers), func(b *testing.B) {
			sendRequests(b, workers, callers.Listener.Addr().String())
		})
	}
}

// announce announces a backend server until the context ends.
func announce(ctx context.Context, e *shentry.Entry, address string) {
	a := shwire.Announcement{
		BackendServer: "records-1", Service: benchService, Address: address, Incarnation: 1, Slots: 64, Connections: 1000,
		Place: shmodel.Place{Region: "region-0", FailureDomain: "domain-0"},
	}
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for ctx.Err() == nil {
		answer, _ := e.Slots.Announce(a)
		a.Nonce = answer.Nonce
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// lastRequest is the number of the last request of this process.
var lastRequest atomic.Int64

// sendRequests sends b.N requests and reports how many were sent per second of
// CPU time, and how many failed.
func sendRequests(b *testing.B, workers int, address string) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: workers, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	defer client.CloseIdleConnections()
	var nextRequest, failed atomic.Int64
	last := lastRequest.Add(int64(b.N))
	nextRequest.Store(last - int64(b.N))
	cpu := shusage.CPU()
	done := make(chan bool)
	b.ResetTimer()
	for range workers {
		go func() {
			defer func() { done <- true }()
			for n := nextRequest.Add(1); n <= last; n = nextRequest.Add(1) {
				if err := get(client, address, n); err != nil && failed.Add(1) == 1 {
					b.Log(err)
				}
			}
		}()
	}
	for range workers {
		<-done
	}
	b.ReportMetric(float64(b.N)/(shusage.CPU()-cpu).Seconds(), "requests/core-s")
	b.ReportMetric(float64(failed.Load()), "failed")
}

func get(client *http.Client, address string, n int64) error {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprint("http://", address, "/records/", n), nil)
	if err != nil {
		return err
	}
	r.Header.Set(shwire.HeaderService, string(benchService))
	r.Header.Set(shwire.HeaderRequestID, shmodel.RequestID(n).String())
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return err
}
