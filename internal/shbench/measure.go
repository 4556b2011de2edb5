package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/internal/shusage"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shaccount"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shview"
)

const (
	// latencyTime is how long latencies are compared at an entry VM, half of it
	// per kind of request.
	latencyTime = 7 * time.Second
	// probeTime is the time of all probes at an entry VM, a quarter per probe.
	probeTime = 4 * time.Second
	// loadTime is the time of each kind of load.
	loadTime    = 3 * time.Second
	callTimeout = 5 * time.Second
	// workers is the number of concurrent requests while latencies are compared.
	workers = 4
	// loadWorkers is the number of concurrent requests under load.
	loadWorkers = 32
	// Direct calls and probes use request IDs that the system never assigns.
	firstDirectID = 1 << 40
	firstProbeID  = 1 << 50
)

// sample holds latencies in microseconds and counts failed calls.
type sample struct {
	mu         sync.Mutex
	values     *hdrhistogram.Histogram
	failed     int
	firstError error
}

func newSample() *sample {
	return &sample{values: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// timeCall runs f and records its duration, or its error.
func (s *sample) timeCall(f func() error) {
	begin := time.Now()
	err := f()
	took := time.Since(begin)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		if s.firstError == nil {
			s.firstError = err
		}
		return
	}
	_ = s.values.RecordValue(took.Microseconds())
}

func (s *sample) percentileMS(percentile float64) float64 {
	return float64(s.values.ValueAtQuantile(percentile)) / 1000
}

// printRow prints a sample and the ratios of its latencies to those of base.
func (s *sample) printRow(name string, base *sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ratios := "| 1 | 1"
	if base != s {
		ratios = fmt.Sprintf("| %.2f | %.2f", s.percentileMS(50)/base.percentileMS(50), s.percentileMS(99)/base.percentileMS(99))
	}
	fmt.Printf("| %s | %d | %d | %.1f | %.1f %s |\n", name, s.values.TotalCount(), s.failed, s.percentileMS(50), s.percentileMS(99), ratios)
	if s.firstError != nil {
		fmt.Printf("<!-- first failure of %s: %v -->\n", name, s.firstError)
	}
}

// runWorkers calls f repeatedly in count goroutines for the duration d.
func runWorkers(count int, d time.Duration, f func(worker int)) {
	end := time.Now().Add(d)
	var group sync.WaitGroup
	for w := range count {
		group.Go(func() {
			for time.Now().Before(end) {
				f(w)
			}
		})
	}
	group.Wait()
}

// client sends HTTP requests over persistent connections.
type client struct {
	http    http.Client
	counter atomic.Int64
}

func newClient() *client {
	return &client{http: http.Client{Timeout: callTimeout, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: loadWorkers, DisableCompression: true,
	}}}
}

func (c *client) get(address, path string, header map[string]string) error {
	return c.send(http.MethodGet, address, path, header, "")
}

func (c *client) send(method, address, path string, header map[string]string, body string) error {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, bytes.TrimSpace(data))
	}
	return err
}

// callDirect calls a backend server with the headers that its owner would send.
func (c *client) callDirect(method string, b backend, path string) error {
	return c.send(method, b.directAddress, path, map[string]string{
		shwire.HeaderRequestID: shmodel.RequestID(firstDirectID + c.counter.Add(1)).String(), shwire.HeaderAttempt: "1",
	}, "pay 100")
}

// callViaEntry sends a request through an entry VM.
func (c *client) callViaEntry(method, address string, service shmodel.Service, path string) error {
	header := map[string]string{shwire.HeaderService: string(service)}
	if method == http.MethodPost {
		header[shwire.HeaderKey] = fmt.Sprintf("key-%d", c.counter.Add(1))
	}
	return c.send(method, address, path, header, "pay 100")
}

// measure compares latencies at the leader's VM, or at the first VM if the
// leader is not known, and at a VM of another region. It then loads the first of
// these VMs.
func measure(d *deployment) error {
	c := newClient()
	if err := d.warmUp(c); err != nil {
		return err
	}
	leader := d.leader()
	entry := d.vms[0]
	for _, v := range d.vms {
		if v.settings.VM == leader {
			entry = v
		}
	}
	other := entry
	for _, v := range d.vms {
		if v.settings.Region != entry.settings.Region {
			other = v
		}
	}
	fmt.Printf("leader %s, %d processes\n\n", leader, len(d.processes)+1)
	for _, v := range []*vm{entry, other} {
		d.compareLatencies(c, v)
	}
	return d.throughput(c, entry)
}

// warmUp waits until both services answer at every VM, and one second more for
// the slow start of backend servers.
func (d *deployment) warmUp(c *client) error {
	for _, v := range d.vms {
		err := retryUntilReady("answers at "+string(v.settings.VM), func(context.Context) error {
			return errors.Join(
				c.callViaEntry(http.MethodGet, v.settings.CallerAddress, d.example.idempotent, "/ready"),
				c.callViaEntry(http.MethodGet, v.settings.CallerAddress, d.example.onceOnly, "/ready"),
			)
		})
		if err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return nil
}

// localBackends lists the backend servers of a service in a region.
func (d *deployment) localBackends(service shmodel.Service, region shmodel.Region) []backend {
	var list []backend
	for _, b := range d.backends {
		if b.service == service && b.place.Region == region {
			list = append(list, b)
		}
	}
	return list
}

// compareLatencies compares requests at one entry VM with direct calls to backend
// servers of its region.
func (d *deployment) compareLatencies(c *client, v *vm) {
	s := v.settings
	fmt.Printf("Entry VM %s:\n\n| what | count | failed | p50 ms | p99 ms | p50 ratio | p99 ratio |\n|---|---|---|---|---|---|---|\n", s.VM)
	for _, kind := range []struct {
		name    string
		method  string
		service shmodel.Service
		path    string
	}{
		{"idempotent", http.MethodGet, d.example.idempotent, "/records/1"},
		{"once-only", http.MethodPost, d.example.onceOnly, d.example.onceOnlyPath},
	} {
		servers := d.localBackends(kind.service, s.Region)
		direct, viaEntry := newSample(), newSample()
		var next atomic.Int64
		runWorkers(workers, latencyTime/2, func(int) {
			b := servers[int(next.Add(1))%len(servers)]
			direct.timeCall(func() error { return c.callDirect(kind.method, b, kind.path) })
			viaEntry.timeCall(func() error { return c.callViaEntry(kind.method, s.CallerAddress, kind.service, kind.path) })
		})
		direct.printRow(kind.name+", direct call", direct)
		viaEntry.printRow(kind.name+", whole path", direct)
		if kind.method == http.MethodPost {
			d.runProbes(v, direct)
		}
	}
	fmt.Println()
}

// runProbes measures claims and account records alone, as this entry VM makes
// them, and prints ratios to the direct calls in base.
func (d *deployment) runProbes(v *vm, base *sample) {
	s := v.settings
	peers := shpeer.NewClient(shpeer.Config{Self: s.PeerAddress})
	defer func() { _ = peers.Close() }()
	var control []string
	for _, p := range s.Peers {
		if has(p, shsettings.Control) {
			control = append(control, p.PeerAddress)
		}
	}
	proposer := &shview.Proposer{Client: peers, Addresses: control}
	claim, copied, durable, withSelf := newSample(), newSample(), newSample(), newSample()
	var number atomic.Uint64
	runWorkers(1, probeTime/4, func(int) { claim.timeCall(func() error { return openClaim(proposer, s.VM, number.Add(1)) }) })
	t := d.targets(v)
	appendTo := func(address string, sync bool) error {
		n := number.Add(1)
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		a, err := shpeer.Call[shaccount.AppendResponse](ctx, peers, address, shwire.MethodAccountAppend, shaccount.AppendRequest{
			Origin: shaccount.Origin{VM: "shbench", Incarnation: 1}, Batch: n, Sync: sync, Records: []shrecord.Record{probeRecord(s.VM, n)},
		})
		if err == nil && a.Refused != "" {
			err = errors.New(a.Reason)
		}
		return err
	}
	appendToBoth := func(pair [2]string) error {
		done := make(chan error, 1)
		go func() { done <- appendTo(pair[1], true) }()
		return errors.Join(appendTo(pair[0], true), <-done)
	}
	runWorkers(1, probeTime/4, func(int) { copied.timeCall(func() error { return appendTo(t.copyTo, false) }) })
	runWorkers(1, probeTime/4, func(int) { durable.timeCall(func() error { return appendToBoth(t.others) }) })
	runWorkers(1, probeTime/4, func(int) { withSelf.timeCall(func() error { return appendToBoth(t.withSelf) }) })
	claim.printRow("claim alone", base)
	copied.printRow("account copy alone", base)
	durable.printRow("synced account record alone", base)
	withSelf.printRow("the same with the own disk", base)
}

// targets holds the peer addresses of the VMs that store records of a VM: for a
// copy the nearest VM in another failure domain, and for synced records the
// nearest two account VMs in different failure domains, with (withSelf) and
// without (others) the VM itself. The daemon does not store its records itself:
// it leaves shreplication.Config.UseSelf unset.
type targets struct {
	copyTo           string
	others, withSelf [2]string
}

func (d *deployment) targets(v *vm) targets {
	var t targets
	t.copyTo, _ = d.nearest(v, func(x *vm) bool { return x.settings.Place() != v.settings.Place() })
	t.others = d.nearestPair(v, func(x *vm) bool { return x != v && x.settings.Has(shsettings.Account) })
	t.withSelf = d.nearestPair(v, func(x *vm) bool { return x.settings.Has(shsettings.Account) })
	return t
}

// nearestPair returns the peer addresses of the nearest two VMs that fit, in
// different failure domains.
func (d *deployment) nearestPair(v *vm, fits func(*vm) bool) [2]string {
	first, place := d.nearest(v, fits)
	second, _ := d.nearest(v, func(x *vm) bool { return fits(x) && x.settings.Place() != place })
	return [2]string{first, second}
}

// nearest returns the peer address and place of the nearest VM that fits.
func (d *deployment) nearest(v *vm, fits func(*vm) bool) (address string, place shmodel.Place) {
	shortest := time.Hour
	for _, x := range d.vms {
		delay := d.delay(v.settings.Place(), x.settings.Place())
		if fits(x) && delay < shortest {
			address, place, shortest = x.settings.PeerAddress, x.settings.Place(), delay
		}
	}
	return address, place
}

func has(p shsettings.Peer, role shsettings.Role) bool {
	for _, r := range p.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// openClaim commits a claim whose attempt is never sent. Its dispatch deadline
// is after the end of the measurement, so that no VM settles it.
func openClaim(p *shview.Proposer, name shmodel.VM, n uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := shview.ProposeFor[shcontrol.ClaimResult](ctx, p, shcontrol.OpenClaim{
		Key: shmodel.ClaimKey{Service: "shbench", Key: fmt.Sprint(name, n)}, RequestID: shmodel.RequestID(firstProbeID + n),
		Attempt: shcontrol.Attempt{Number: 1, VM: name, BackendServer: "shbench", Address: "127.0.0.1:9", Incarnation: 1, DispatchBy: time.Now().Add(10 * time.Minute)},
	})
	if err == nil && r.Status != shcontrol.ClaimGranted {
		err = fmt.Errorf("claim is %s", r.Status)
	}
	return err
}

func probeRecord(name shmodel.VM, n uint64) shrecord.Record {
	return shrecord.Record{
		RequestID: shmodel.RequestID(firstProbeID + n), Kind: shrecord.Opened, VM: name, At: time.Now(), Service: "shbench",
		Method: http.MethodPost, Path: "/payments", Operation: shmodel.OnceOnly, Key: fmt.Sprint(n), Caller: "127.0.0.1",
	}
}

// throughput loads one entry VM, without the relay between callers and the VM,
// and prints rates per second and per second of CPU time of the daemon.
func (d *deployment) throughput(c *client, v *vm) error {
	s := v.settings
	address := behindRelay(s.CallerAddress)
	lookup := shwire.PathEntries + "?service=" + string(d.example.idempotent)
	fmt.Printf("Load at entry VM %s, %d callers:\n\n| what | answered | failed | per s | per core-s of this daemon | CPU of all daemons, cores | KB/s with peers and backend servers per daemon | resident MB of this daemon |\n|---|---|---|---|---|---|---|---|\n", s.VM, loadWorkers)
	for _, kind := range []struct {
		name string
		call func() error
	}{
		{"idle", func() error { time.Sleep(100 * time.Millisecond); return nil }},
		{"look-ups", func() error { return c.get(address, lookup, nil) }},
		{"idempotent requests", func() error { return c.callViaEntry(http.MethodGet, address, d.example.idempotent, "/records/1") }},
		{"once-only requests", func() error {
			return c.callViaEntry(http.MethodPost, address, d.example.onceOnly, d.example.onceOnlyPath)
		}},
	} {
		var failed atomic.Int64
		latencies := newSample()
		own, all, err := d.usage(v)
		if err != nil {
			return err
		}
		before := d.peerBytes()
		begin := time.Now()
		runWorkers(loadWorkers, loadTime, func(int) {
			latencies.timeCall(func() error {
				err := kind.call()
				if err != nil {
					failed.Add(1)
					// Refusals are cheap, and without a pause the workers would
					// measure little else.
					time.Sleep(5 * time.Millisecond)
				}
				return err
			})
		})
		elapsed := time.Since(begin).Seconds()
		ownAfter, allAfter, err := d.usage(v)
		if err != nil {
			return err
		}
		answered := float64(latencies.values.TotalCount())
		fmt.Printf("| %s | %.0f | %d | %.0f | %.0f | %.2f | %.1f | %d |\n", kind.name, answered, failed.Load(), answered/elapsed,
			answered/(ownAfter.CPU-own.CPU).Seconds(), (allAfter-all).Seconds()/elapsed,
			float64(d.peerBytes()-before)/elapsed/1000/float64(len(d.vms)), ownAfter.Resident>>20)
		if latencies.firstError != nil {
			fmt.Printf("<!-- first failure: %v -->\n", latencies.firstError)
		}
	}
	return nil
}

// peerBytes returns the sum of peerBytes of all daemons.
func (d *deployment) peerBytes() int64 {
	var sum int64
	for _, v := range d.vms {
		sum += v.peerBytes.Load()
	}
	return sum
}

// usage returns the CPU time and memory of a daemon, and the CPU time of all
// daemons.
func (d *deployment) usage(v *vm) (own shusage.Process, all time.Duration, err error) {
	for _, x := range d.vms {
		u, err := shusage.OfProcess(x.process.Process.Pid)
		if err != nil {
			return own, 0, err
		}
		all += u.CPU
		if x == v {
			own = u
		}
	}
	return own, all, nil
}
