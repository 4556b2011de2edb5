package shentry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/coordination/shreplication"
	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shaccount"
	"sequoiahollow/transport/shbackend"
	"sequoiahollow/transport/shview"
)

const testService, testOnceOnly = shmodel.Service("samples"), shmodel.Service("payments")

var discardLog = slog.New(slog.DiscardHandler)

// deployment runs entry VMs in this process. It applies their commands directly
// to a shcontrol.State, without replication, and keeps their account records in
// memory.
type deployment struct {
	mu          sync.Mutex
	state       shcontrol.State
	clockOffset time.Duration
	failCommand func(shcontrol.Command) bool
	records     map[shrecord.Identity]shrecord.Record
	startedRuns int

	view    atomic.Pointer[shview.View]
	entries []shdirectory.Heartbeat
	vms     map[string]*testVM
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{records: map[shrecord.Identity]shrecord.Record{}, vms: map[string]*testVM{}}
	c := shconfig.Config{
		Objective: shconfig.Headroom,
		Regions: map[shmodel.Region]shconfig.Region{
			"south": {FailureDomains: []shmodel.FailureDomain{"s1", "s2"}}, "north": {FailureDomains: []shmodel.FailureDomain{"n1"}},
		},
		Links: map[string]shconfig.Link{
			"south-north": {From: "south", To: "north", CapBitsPerSecond: 280_000_000, LatencyMS: 1},
			"north-south": {From: "north", To: "south", CapBitsPerSecond: 280_000_000, LatencyMS: 1},
		},
		Services: map[shmodel.Service]shconfig.Service{
			testService:  {Default: shmodel.Idempotent, DefaultTimeoutMS: 3000, MaxBodyBytes: 1000, Hosts: []string{"samples.test"}},
			testOnceOnly: {Default: shmodel.OnceOnly, DefaultTimeoutMS: 3000, MaxBodyBytes: 1000},
			"empty":      {Default: shmodel.Idempotent, DefaultTimeoutMS: 3000},
		},
		Limits: shconfig.Limits{LookupCacheMS: 1500, RetryShare: 1, ClockErrorMS: 10},
	}
	r, _ := d.propose(t.Context(), shcontrol.ApplyConfig{EditID: "1", Config: c})
	assert.Assert(t, r.(shcontrol.ConfigResult).Accepted)
	d.publish(t, c)
	return d
}

// publish gives all entry VMs a view that stays confirmed for an hour, longer
// than a test.
func (d *deployment) publish(t *testing.T, c shconfig.Config) {
	compiled, err := shconfig.Compile(c)
	assert.NilError(t, err)
	v := &shview.View{Revision: 1, Config: compiled, Entries: d.entries}
	v.Confirm(time.Now().Add(time.Hour))
	d.view.Store(v)
}

func (d *deployment) propose(_ context.Context, c shcontrol.Command) (shcontrol.Result, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failCommand != nil && d.failCommand(c) {
		return nil, errors.New("no leader")
	}
	return d.state.Apply(time.Now().Add(d.clockOffset), c), nil
}

// Append implements shaccount.Replicator.
func (d *deployment) Append(_ context.Context, _ shmodel.VM, q shaccount.AppendRequest) (shaccount.AppendResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range q.Records {
		d.records[r.Identity()] = r
	}
	return shaccount.AppendResponse{Synced: q.Sync}, nil
}

// Release implements shaccount.Replicator.
func (d *deployment) Release(context.Context, shmodel.VM, shaccount.ReleaseRequest) error { return nil }

// Write implements io.Writer for the journals of backend servers. It counts the
// runs that they start.
func (d *deployment) Write(line []byte) (int, error) {
	var l shbackend.JournalLine
	if err := json.Unmarshal(line, &l); err != nil {
		return 0, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.Event == "started" {
		d.startedRuns++
	}
	return len(line), nil
}

func (d *deployment) runs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startedRuns
}

// accountRecords formats the records of a request in the order of the export,
// each as kind:outcome:reason, and returns the last one.
func (d *deployment) accountRecords(id shmodel.RequestID) (string, shrecord.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var last shrecord.Record
	var parts []string
	for _, kind := range []shrecord.Kind{shrecord.Opened, shrecord.Attempted, shrecord.HandedOver, shrecord.Closed, shrecord.Refused} {
		for attempt := range uint32(100) {
			for _, r := range d.records {
				if r.RequestID == id && r.Kind == kind && r.Attempt == attempt {
					last = r
					parts = append(parts, strings.TrimRight(string(kind)+":"+string(r.Outcome)+":"+r.Reason, ":"))
				}
			}
		}
	}
	return strings.Join(parts, " "), last
}

// testVM is one entry VM with its listeners.
type testVM struct {
	*Entry
	deployment *deployment
	heartbeat  shdirectory.Heartbeat
	caller     http.Client
}

func (d *deployment) startVM(t *testing.T, name shmodel.VM, region shmodel.Region) *testVM {
	t.Helper()
	place := shmodel.Place{Region: region, FailureDomain: shmodel.FailureDomain(region[:1] + "1")}
	permitted := func() bool { return d.view.Load().Confirmed(time.Now()) }
	v := &testVM{deployment: d, Entry: &Entry{
		VM: name, Place: place, View: d.view.Load, Control: d.propose, Policy: shrouting.Objectives{}, Log: discardLog,
		Account: shaccount.NewOutbox(d, shaccount.OutboxOptions{Replication: shreplication.Config{Self: name, Place: place}}),
		Observe: func(shrecord.Record, bool) {},
		Links: &Links{VM: name, Region: region, Permitted: permitted, Log: discardLog, Propose: func(ctx context.Context, c shcontrol.RequestGrant) (shcontrol.GrantResult, error) {
			r, err := d.propose(ctx, c)
			g, _ := r.(shcontrol.GrantResult)
			return g, err
		}},
		Credits: &Credits{VM: name, Ask: func(_ context.Context, address string, q shwire.CreditRequest) (shwire.CreditResponse, error) {
			// As in the daemon, an owner that lends slots asks for a grant in
			// advance, to send the answers.
			d.vms[address].Links.AddDemand(d.vms[string(q.VM)].Place.Region, 0)
			return d.vms[address].Slots.GrantCredit(q), nil
		}},
	}}
	v.Slots = NewSlots(string(name), 0.2, func(c shslot.CrashSuspected) {
		_, _ = d.propose(context.Background(), shcontrol.ReportCrash{BackendServer: c.BackendServer, Digests: c.Digests, Solo: c.Solo})
	})
	v.Account.SetTargets([]shreplication.Target{
		{VM: "account-1", Place: shmodel.Place{Region: "south", FailureDomain: "s2"}, Disk: true, Healthy: true},
		{VM: "account-2", Place: shmodel.Place{Region: "north", FailureDomain: "n2"}, Disk: true, Healthy: true},
	})
	v.IDs = shaccount.NewAllocator(func(ctx context.Context, n uint64) (shrecord.Range, error) {
		r, err := d.propose(ctx, shcontrol.ReserveRange{VM: name, Incarnation: 1, Count: n})
		return r.(shcontrol.RangeResult).Range, err
	})
	assert.NilError(t, v.IDs.Fill(t.Context()))
	v.Init()
	callers, servers := httptest.NewServer(v.CallerHandler()), httptest.NewServer(v.ServerHandler())
	t.Cleanup(callers.Close)
	t.Cleanup(servers.Close)
	go v.Slots.Run(t.Context())
	go v.Links.Run(t.Context())
	v.heartbeat = shdirectory.Heartbeat{
		VM: name, Place: place, PeerAddress: string(name), Services: map[shmodel.Service]shdirectory.Slots{testService: {Total: 2}, testOnceOnly: {Total: 2}},
		CallerAddress: strings.TrimPrefix(callers.URL, "http://"), ServerAddress: strings.TrimPrefix(servers.URL, "http://"),
	}
	d.entries = append(d.entries, v.heartbeat)
	d.vms[string(name)] = v
	d.publish(t, d.view.Load().Config.Config)
	v.caller.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return v
}

// startBackends starts backend servers and waits until the entry VM owns them.
func (v *testVM) startBackends(t *testing.T, service shmodel.Service, change func(*shbackend.Config), names ...shmodel.BackendServer) []*shbackend.Server {
	t.Helper()
	var servers []*shbackend.Server
	for _, name := range names {
		c := shbackend.Config{
			BackendServer: name, Service: service, Place: v.Place, Address: "127.0.0.1:0", Slots: 2, Connections: 10,
			Owners: []string{v.heartbeat.ServerAddress}, Journal: v.deployment,
		}
		if change != nil {
			change(&c)
		}
		s, err := shbackend.Start(c)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = s.Close() })
		servers = append(servers, s)
	}
	waitFor(t, "slots", func() bool { return v.Slots.Services()[service].Total >= len(names) })
	return servers
}

// answer is the answer to a caller; broken says that its body is incomplete.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	broken  bool
	id      shmodel.RequestID
	problem shwire.Problem
}

func (a answer) outcome() string { return a.header.Get(shwire.HeaderOutcome) }

// call sends one request as a caller. The headers alternate names and values.
func (v *testVM) call(t *testing.T, service shmodel.Service, method, uri, body string, headers ...string) answer {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+v.heartbeat.CallerAddress+uri, strings.NewReader(body))
	assert.NilError(t, err)
	if service != "" {
		r.Header.Set(shwire.HeaderService, string(service))
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	r.Host = r.Header.Get("Host")
	response, err := v.caller.Do(r)
	assert.NilError(t, err)
	return readAnswer(t, response)
}

func readAnswer(t *testing.T, response *http.Response) answer {
	t.Helper()
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, header: response.Header}
	var err error
	a.body, err = io.ReadAll(response.Body)
	a.broken = err != nil
	if response.Header.Get("Content-Type") == shwire.ContentTypeProblem {
		assert.NilError(t, json.Unmarshal(a.body, &a.problem))
		assert.Equal(t, a.problem.Status, a.status)
		assert.Equal(t, string(a.problem.Outcome), a.outcome())
	}
	if text := response.Header.Get(shwire.HeaderRequestID); text != "" {
		assert.NilError(t, a.id.UnmarshalText([]byte(text)))
	}
	return a
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(5*time.Second))
}

// checkAccount waits until the account holds exactly the wanted records of a
// request, and compares the status in the last one, which is billed, with the
// status that the caller got.
func (d *deployment) checkAccount(t *testing.T, a answer, want string) {
	t.Helper()
	got := ""
	last := shrecord.Record{}
	for range 400 {
		if got, last = d.accountRecords(a.id); got == want {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, got, want)
	if want != "" {
		assert.Equal(t, last.Status, a.status, "status in the account")
	}
}
