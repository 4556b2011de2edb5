package shoperator_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shburn"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shoperator"
)

const token = "0123456789abcdef"

// fakeDeployment is a Deployment in memory. Apply compares and sets the revision.
type fakeDeployment struct {
	mu      sync.Mutex
	current shoperator.Current
	results map[string]shcontrol.ConfigResult
	edits   []shoperator.Edit
	// loseAnswers is the number of edits that are applied without an answer.
	loseAnswers int
	// unavailableAfter is the value of fail after a lost answer.
	unavailableAfter error
	// fail is the error of every method.
	fail error
	// wait is how long AccountVerify waits. Before the wait, AccountVerify sends
	// to entered if entered is set.
	wait    time.Duration
	entered chan struct{}
	// export is what AccountExport writes before it returns fail.
	export string
	target shoperator.Target
}

func (f *fakeDeployment) Config(context.Context) (shoperator.Current, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.fail
}

func (f *fakeDeployment) Apply(_ context.Context, edit shcontrol.ApplyConfig) (shcontrol.ConfigResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fail != nil {
		return shcontrol.ConfigResult{}, f.fail
	}
	result, known := f.results[edit.EditID]
	if !known {
		result = shcontrol.ConfigResult{Revision: f.current.Revision, Config: f.current.Config}
	}
	if !known && edit.BaseRevision == f.current.Revision {
		f.current = shoperator.Current{Revision: edit.BaseRevision + 1, Config: edit.Config}
		result = shcontrol.ConfigResult{Accepted: true, Revision: f.current.Revision, Config: edit.Config}
		f.results[edit.EditID] = result
		f.edits = append([]shoperator.Edit{{Revision: result.Revision, EditID: edit.EditID}}, f.edits...)
	}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		f.fail = f.unavailableAfter
		return shcontrol.ConfigResult{}, errors.New("leader lost")
	}
	return result, nil
}

func (f *fakeDeployment) History(_ context.Context, limit int) ([]shoperator.Edit, error) {
	return f.edits[:min(limit, len(f.edits))], f.fail
}

func (f *fakeDeployment) Status(context.Context) (shoperator.Status, error) {
	return shoperator.Status{Revision: 7, Daemons: []shoperator.Daemon{{VM: "a", Revision: 7}, {VM: "b", Missing: true, AgeMS: -1}}}, f.fail
}

func (f *fakeDeployment) Drain(_ context.Context, target shoperator.Target) (shcontrol.DrainResult, error) {
	f.target = target
	return shcontrol.DrainResult{Draining: true}, f.fail
}

func (f *fakeDeployment) Undrain(_ context.Context, target shoperator.Target) (shcontrol.DrainResult, error) {
	f.target = target
	return shcontrol.DrainResult{}, f.fail
}

func (f *fakeDeployment) AccountExport(_ context.Context, _ shrecord.Filter, w io.Writer) error {
	_, err := io.WriteString(w, f.export)
	return errors.Join(err, f.fail)
}

func (f *fakeDeployment) AccountVerify(ctx context.Context) (shoperator.Verification, error) {
	if f.entered != nil {
		f.entered <- struct{}{}
	}
	select {
	case <-ctx.Done():
		return shoperator.Verification{}, ctx.Err()
	case <-time.After(f.wait):
		return shoperator.Verification{Complete: true, Requests: 3}, f.fail
	}
}

func (f *fakeDeployment) BurnReport(context.Context) (shburn.Report, error) {
	return shburn.Report{Services: []shburn.ServiceReport{{Service: "s"}}}, f.fail
}

// start serves a fakeDeployment and returns a client for it.
func start(t *testing.T, f *fakeDeployment) *shoperator.Client {
	t.Helper()
	f.results = map[string]shcontrol.ConfigResult{}
	set := metrics.NewSet()
	set.NewCounter("sample_total").Inc()
	server := httptest.NewServer((&shoperator.Server{Deployment: f, Token: token, Metrics: set}).Handler())
	t.Cleanup(server.Close)
	return &shoperator.Client{Address: server.Listener.Addr().String(), Token: token, RetryPause: time.Millisecond}
}

func config(limit int) shconfig.Config {
	return shconfig.Config{
		Objective: shconfig.Headroom,
		Regions:   map[shmodel.Region]shconfig.Region{"r": {FailureDomains: []shmodel.FailureDomain{"f"}}},
		Services:  map[shmodel.Service]shconfig.Service{"s": {Default: shmodel.OnceOnly, DefaultTimeoutMS: 1}},
		Limits:    shconfig.Limits{CrashLimit: limit},
	}
}

func edit(id string, base uint64, limit int) shcontrol.ApplyConfig {
	return shcontrol.ApplyConfig{EditID: id, BaseRevision: base, Config: config(limit)}
}

func kindOf(t *testing.T, err error) shoperator.Kind {
	t.Helper()
	failure, ok := errors.AsType[*shoperator.Error](err)
	assert.Assert(t, ok, "%v", err)
	return failure.Kind
}

// TestApplyConflict guards against a lost edit when two operators start from
// the same revision, and against a conflict that does not show the difference.
func TestApplyConflict(t *testing.T) {
	f := &fakeDeployment{}
	c := start(t, f)
	first, err := c.Apply(t.Context(), edit("one", 0, 3))
	assert.NilError(t, err)
	assert.Equal(t, first.Revision, uint64(1))

	_, err = c.Apply(t.Context(), edit("two", 0, 4))
	assert.Equal(t, kindOf(t, err), shoperator.KindConflict)
	failure, _ := errors.AsType[*shoperator.Error](err)
	assert.Equal(t, failure.Problem.Status, http.StatusConflict)
	assert.Equal(t, failure.Problem.Outcome, shmodel.NotRun)
	assert.Equal(t, failure.Problem.Current.Revision, uint64(1))
	assert.Equal(t, fmt.Sprintf("%s", failure.Problem.Changes), "[{/limits/crashLimit 3 4}]")

	again, err := c.Apply(t.Context(), edit("one", 0, 3))
	assert.NilError(t, err)
	assert.DeepEqual(t, again, first)
	assert.Equal(t, f.current.Revision, uint64(1))
}

// TestApplyResend guards against an edit that is applied twice, or reported as
// a conflict with itself, when the answer is lost.
func TestApplyResend(t *testing.T) {
	f := &fakeDeployment{loseAnswers: 1}
	result, err := start(t, f).Apply(t.Context(), edit("one", 0, 3))
	assert.NilError(t, err)
	assert.Equal(t, result.Revision, uint64(1))
	assert.Equal(t, len(f.edits), 1)
}

// TestApplyUncertain guards against the outcome "not run" when only the last
// attempt certainly did not run: an earlier one may have been accepted.
func TestApplyUncertain(t *testing.T) {
	f := &fakeDeployment{loseAnswers: 1}
	f.unavailableAfter = &shoperator.Error{Kind: shoperator.KindUnavailable, Err: errors.New("no quorum")}
	_, err := start(t, f).Apply(t.Context(), edit("one", 0, 3))
	assert.Equal(t, kindOf(t, err), shoperator.KindUnknown)
	assert.Equal(t, f.current.Revision, uint64(1))
}

// TestStatuses guards against a status that is none and passes for an accepted change, or
// for one that was not made. Only 200 is accepted, and any other status without a known
// problem is KindInternal.
func TestStatuses(t *testing.T) {
	for _, status := range []string{"000", "101", "600"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, buffer, _ := http.NewResponseController(w).Hijack()
			defer c.Close()
			_, _ = buffer.WriteString("HTTP/1.1 " + status + " x\r\nContent-Length: 2\r\n\r\n{}")
			_ = buffer.Flush()
		}))
		t.Cleanup(s.Close)
		client := &shoperator.Client{Address: s.Listener.Addr().String()}
		_, err := client.AccountVerify(t.Context())
		assert.Equal(t, kindOf(t, err), shoperator.KindInternal)
		if status == "000" { // KindInternal: a change may have been made
			_, err = client.Apply(t.Context(), edit("one", 0, 3))
			assert.Equal(t, kindOf(t, err), shoperator.KindInternal)
		}
	}
}

// TestChangeKinds guards against telling an operator that a change was not made
// when it may have been.
func TestChangeKinds(t *testing.T) {
	for name, c := range map[string]struct {
		fail    error
		kind    shoperator.Kind
		outcome shmodel.Outcome
	}{
		"no quorum": {&shoperator.Error{Kind: shoperator.KindUnavailable, Err: errors.New("no quorum")}, shoperator.KindUnavailable, shmodel.NotRun},
		"timeout":   {context.DeadlineExceeded, shoperator.KindUnknown, shmodel.Unknown},
		"other":     {errors.New("disk"), shoperator.KindUnknown, shmodel.Unknown},
		"not found": {&shoperator.Error{Kind: shoperator.KindNotFound, Err: errors.New("no VM")}, shoperator.KindNotFound, shmodel.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			client := start(t, &fakeDeployment{fail: c.fail})
			_, err := client.Drain(t.Context(), shoperator.Target{VM: "a"})
			failure, _ := errors.AsType[*shoperator.Error](err)
			assert.Equal(t, failure.Kind, c.kind)
			assert.Equal(t, failure.Problem.Outcome, c.outcome)
		})
	}
}

// TestApplyNotConnected guards against an unknown outcome when nothing was
// sent.
func TestApplyNotConnected(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	client := &shoperator.Client{Address: address, Token: token, RetryPause: time.Millisecond}
	_, err := client.Apply(t.Context(), edit("one", 0, 3))
	assert.Equal(t, kindOf(t, err), shoperator.KindUnavailable)
}

// TestClientMethods guards against paths and types that differ between client and
// server.
func TestClientMethods(t *testing.T) {
	f := &fakeDeployment{export: "{\"requestId\":\"1\"}\n"}
	c, ctx := start(t, f), t.Context()
	_, err := c.Apply(ctx, edit("one", 0, 3))
	assert.NilError(t, err)

	current, err := c.Config(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, current.Config, config(3))
	diff, err := c.Diff(ctx, config(5))
	assert.NilError(t, err)
	assert.Equal(t, len(diff.Changes), 1)
	check, err := c.Check(ctx, shconfig.Config{})
	assert.NilError(t, err)
	assert.Equal(t, len(check.Problems), 3)
	history, err := c.History(ctx, 1)
	assert.NilError(t, err)
	assert.Equal(t, history[0].EditID, "one")
	status, err := c.Status(ctx)
	assert.NilError(t, err)
	assert.Assert(t, status.Daemons[1].Missing)
	drained, err := c.Drain(ctx, shoperator.Target{Region: "r"})
	assert.NilError(t, err)
	assert.Assert(t, drained.Draining)
	assert.Equal(t, f.target.Region, shmodel.Region("r"))
	_, err = c.Undrain(ctx, shoperator.Target{VM: "v"})
	assert.NilError(t, err)
	assert.Equal(t, f.target.VM, shmodel.VM("v"))
	verification, err := c.AccountVerify(ctx)
	assert.NilError(t, err)
	assert.Assert(t, verification.Complete)
	report, err := c.BurnReport(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(report.Services), 1)
	var export strings.Builder
	assert.NilError(t, c.AccountExport(ctx, shrecord.Filter{}, &export))
	assert.Equal(t, export.String(), f.export)
}

// TestExportInterrupted guards against a partial export that looks complete.
func TestExportInterrupted(t *testing.T) {
	failure := errors.New("disk")
	// More than the buffers hold, so that the client receives a part.
	long := strings.Repeat("{}\n", 1<<18)
	err := start(t, &fakeDeployment{export: long, fail: failure}).AccountExport(t.Context(), shrecord.Filter{}, io.Discard)
	assert.ErrorContains(t, err, "export interrupted")
	err = start(t, &fakeDeployment{export: "", fail: failure}).AccountExport(t.Context(), shrecord.Filter{}, io.Discard)
	assert.Equal(t, kindOf(t, err), shoperator.KindInternal)
}

// TestRefusals guards against requests that pass without the token, beyond the
// limits of sizes and header fields, or with a malformed or invalid body.
func TestRefusals(t *testing.T) {
	f := &fakeDeployment{}
	address := start(t, f).Address
	many := http.Header{}
	for i := range shoperator.MaxHeaderFields {
		many.Add(fmt.Sprintf("X-%d", i), "x")
	}
	text := http.Header{"Content-Type": {"text/plain"}}
	bearer := func(s string) http.Header { return http.Header{"Authorization": {s}} }
	for name, c := range map[string]struct {
		request string
		header  http.Header
		body    string
		want    int
		reason  string
	}{
		"no token":        {"GET /v1/config", bearer(""), "", 401, "unauthorized"},
		"wrong token":     {"GET /v1/config", bearer("Bearer 0123456789abcdeX"), "", 401, "unauthorized"},
		"prefix of token": {"GET /v1/config", bearer("Bearer 0123456789"), "", 401, "unauthorized"},
		"wrong scheme":    {"GET /v1/config", bearer("Basic " + token), "", 401, "unauthorized"},
		"hidden path":     {"GET /v1/other", bearer(""), "", 401, "unauthorized"},
		"path":            {"GET /v1/other", nil, "", 404, "not-found"},
		"method":          {"DELETE /v1/config", nil, "", 405, "method"},
		"header count":    {"GET /v1/config", many, "", 431, "headers"},
		"media type":      {"POST /v1/config", text, "{}", 415, "media-type"},
		"body size":       {"POST /v1/config", nil, strings.Repeat(" ", shoperator.MaxBodyBytes+1), 413, "too-large"},
		"target size":     {"POST /v1/drain", nil, strings.Repeat(" ", shoperator.MaxTargetBytes+1), 413, "too-large"},
		"syntax":          {"POST /v1/config", nil, "{", 400, "malformed"},
		"duplicate key":   {"POST /v1/drain", nil, `{"vm":"a","vm":"b"}`, 400, "malformed"},
		"two targets":     {"POST /v1/drain", nil, `{"vm":"a","region":"b"}`, 400, "malformed"},
		"no target":       {"POST /v1/undrain", nil, `{}`, 400, "malformed"},
		"no edit ID":      {"POST /v1/config", nil, `{"baseRevision":0,"config":{}}`, 400, "malformed"},
		"no base":         {"POST /v1/config", nil, `{"editId":"e","config":{}}`, 400, "malformed"},
		"unknown field":   {"POST /v1/config", nil, `{"editId":"e","baseRevision":0,"config":{"x":1}}`, 400, "malformed"},
		"invalid":         {"POST /v1/config", nil, `{"editId":"e","baseRevision":0,"config":{}}`, 422, "invalid"},
		"history limit":   {"GET /v1/config/history?limit=0", nil, "", 400, "malformed"},
	} {
		t.Run(name, func(t *testing.T) {
			response := send(t, address, c.request, c.header, c.body)
			assert.Equal(t, response.StatusCode, c.want)
			assert.Equal(t, response.Header.Get("Content-Type"), "application/problem+json")
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(body), `"reason":"`+c.reason+`"`), "%s", body)
		})
	}
	assert.Equal(t, f.current.Revision, uint64(0))
}

// send makes a request with the right token and media type, unless header has
// other values for them.
func send(t *testing.T, address, request string, header http.Header, body string) *http.Response {
	t.Helper()
	method, path, _ := strings.Cut(request, " ")
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Content-Type", "application/json")
	for key, values := range header {
		r.Header[key] = values
	}
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// TestNoToken guards against a server that accepts an empty token because none
// is set.
func TestNoToken(t *testing.T) {
	server := httptest.NewServer((&shoperator.Server{Deployment: &fakeDeployment{}}).Handler())
	defer server.Close()
	response := send(t, server.Listener.Addr().String(), "GET /v1/config", http.Header{"Authorization": {"Bearer "}}, "")
	assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
}

// TestPublicPaths guards against metrics and a health check that need the token.
func TestPublicPaths(t *testing.T) {
	address := start(t, &fakeDeployment{}).Address
	none := http.Header{"Authorization": nil}
	for path, want := range map[string]string{"/metrics": "sample_total 1", "/healthz": "ok"} {
		response := send(t, address, "GET "+path, none, "")
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Assert(t, strings.Contains(string(body), want), "%s", body)
	}
}

// TestLongRequest guards against a verification that fails because it takes
// longer than the timeouts of the connection.
func TestLongRequest(t *testing.T) {
	f := &fakeDeployment{wait: 1500 * time.Millisecond}
	server := httptest.NewUnstartedServer((&shoperator.Server{Deployment: f, Token: token}).Handler())
	server.Config.ReadTimeout = time.Second
	server.Config.WriteTimeout = time.Second
	server.Start()
	defer server.Close()
	client := &shoperator.Client{Address: server.Listener.Addr().String(), Token: token}
	_, err := client.AccountVerify(t.Context())
	assert.NilError(t, err)
}

// TestConcurrency guards against slow requests that use up the memory of the
// process or block its health check.
func TestConcurrency(t *testing.T) {
	f := &fakeDeployment{wait: time.Hour, entered: make(chan struct{})}
	c := start(t, f)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for range shoperator.MaxConcurrent {
		running.Go(func() { _, _ = c.AccountVerify(ctx) })
		<-f.entered
	}
	_, err := c.Config(t.Context())
	assert.Equal(t, kindOf(t, err), shoperator.KindUnavailable)
	assert.Equal(t, send(t, c.Address, "GET /healthz", nil, "").StatusCode, http.StatusOK)
	cancel()
	running.Wait()
}
