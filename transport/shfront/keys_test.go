package shfront_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shquota"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shfront"
)

const (
	secretKey = "k-3f1c9a"
	aPublic   = "/public/x"
	// permissionEnd is the end of the permission by the clock of a keyedFixture, which
	// starts at zero.
	permissionEnd = 3 * time.Second
)

// keyedFixture is a fixture whose table has teams. Its backend servers answer with the
// team and the key that they were shown.
type keyedFixture struct {
	*fixture
	current atomic.Pointer[shfleet.View]
	clock   atomic.Int64
	// atTake is called when a request is taken from the allowance of its team, which
	// is after its key was accepted and before a backend server is chosen.
	atTake   func()
	taken    atomic.Int32
	returned atomic.Int32
	log      bytes.Buffer
}

func showTeam(s *server, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Shown", fmt.Sprintf("%q %q", r.Header["Team"], r.Header["Authorization"]))
	answer(s, w, r)
}

func team(name string, keys ...string) shfleet.Team {
	t := shfleet.Team{Name: name, Rate: 1000}
	for _, k := range keys {
		t.Keys = append(t.Keys, shfleet.DigestKey(k))
	}
	return t
}

func newKeyedFixture(t *testing.T, teams ...shfleet.Team) *keyedFixture {
	t.Helper()
	f := &keyedFixture{fixture: newFixture(t, 2, showTeam, showTeam), atTake: func() {}}
	h := f.handler
	h.Dialect.KeyHeader, h.Dialect.Team = "Authorization", "Team"
	h.Dialect.TeamKey = func(h http.Header) string { return strings.TrimPrefix(h.Get("Authorization"), "Token ") }
	h.View, h.Allowance = f.current.Load, f
	h.KeysUntil = func() time.Duration { return permissionEnd }
	h.Clock = func() time.Duration { return time.Duration(f.clock.Load()) }
	h.Logger = slog.New(slog.NewTextHandler(&f.log, nil))
	f.setTeams(teams...)
	return f
}

func (f *keyedFixture) setTeams(teams ...shfleet.Team) {
	route := func(prefix string, public bool) shfleet.Route {
		return shfleet.Route{
			Name: prefix, Host: "shop", Prefix: prefix, Kind: shmodel.Idempotent, Timeout: 2000, Objective: 200, Attempts: 2, Public: public,
			Regions: []shmodel.Region{"r", "r2"}, Parts: []shfleet.Part{{Service: "s", Weight: 1}},
		}
	}
	view := f.view
	if old := f.current.Load(); old != nil {
		view = *old
	}
	view.Index, view.Version = view.Index+1, view.Version+1
	view.Table = shfleet.NewRouteIndex(shfleet.Table{
		Routes: []shfleet.Route{route("/idempotent/", false), route("/public/", true)}, Services: []shfleet.Service{{Name: "s"}}, Teams: teams,
	})
	f.current.Store(&view)
}

func (f *keyedFixture) Take(context.Context, *shfleet.Team) (shquota.Ticket, bool, time.Duration) {
	f.taken.Add(1)
	f.atTake()
	return shquota.Ticket{}, true, 0
}

func (f *keyedFixture) Return(shquota.Ticket) { f.returned.Add(1) }

// ask sends a request, with the lines as further header fields, and returns the answer.
func (f *keyedFixture) ask(t *testing.T, path string, lines ...string) *http.Response {
	t.Helper()
	c := f.dial(t)
	fmt.Fprint(c, head(path, lines...)+"\r\n")
	return readAnswer(t, bufio.NewReader(c))
}

func (f *keyedFixture) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func head(path string, lines ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: shop\r\nId: 7\r\n" + strings.Join(append(lines, ""), "\r\n")
}

func readAnswer(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response
}

// assertShown checks that a backend server got the name of a team and no key.
func assertShown(t *testing.T, r *http.Response, team string) {
	t.Helper()
	assert.Equal(t, r.StatusCode, http.StatusOK)
	want := `[] []`
	if team != "" {
		want = fmt.Sprintf(`[%q] []`, team)
	}
	assert.Equal(t, r.Header.Get("Shown"), want)
}

// assertRefused checks that a request has not run.
func assertRefused(t *testing.T, f *keyedFixture, r *http.Response, status int) {
	t.Helper()
	assert.Equal(t, r.StatusCode, status)
	assert.Equal(t, f.runs(), 0)
	assert.Equal(t, r.Header.Get("Retry-After") != "", status == http.StatusServiceUnavailable)
}

const token = "Authorization: Token " + secretKey

// Guards against a request that runs for a team that lost the key, or without a
// permission, though it was accepted before; and against one that is tried at further
// backend servers then.
func TestKeyChangesBeforeSending(t *testing.T) {
	a, b := team("a", secretKey), team("b")
	cases := []struct {
		name   string
		change func(*keyedFixture)
		status int
		team   string
	}{
		{"taken away", func(f *keyedFixture) { f.setTeams(team("a"), b) }, 401, ""},
		{"moved", func(f *keyedFixture) { f.setTeams(team("a"), team("b", secretKey)) }, 200, "b"},
		{"given back", func(f *keyedFixture) { f.setTeams(team("a"), b); f.setTeams(a, b) }, 200, "a"},
		{"team renamed", func(f *keyedFixture) { f.setTeams(team("c", secretKey)) }, 200, "c"},
		{"regions changed", func(f *keyedFixture) {
			elsewhere := a
			elsewhere.Regions = []shmodel.Region{"r2"}
			f.setTeams(elsewhere)
		}, 503, ""},
		{"process was paused", func(f *keyedFixture) { f.clock.Store(int64(permissionEnd)) }, 503, ""},
		{"teams removed", func(f *keyedFixture) { f.setTeams() }, 200, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newKeyedFixture(t, a, b)
			changed := false
			f.atTake = func() {
				if !changed {
					changed = true
					c.change(f)
				}
			}
			r := f.ask(t, idempotent, token)
			switch {
			case c.status != http.StatusOK:
				assertRefused(t, f, r, c.status)
			case c.team != "":
				assertShown(t, r, c.team)
			default:
				assert.Equal(t, r.StatusCode, c.status)
			}
			withheld := f.handler.Metrics.GetOrCreateCounter(`sequoiahollow_attempts_total{result="withheld"}`).Get()
			assert.Assert(t, withheld <= 1, "%d attempts were withheld", withheld)
			ran := int32(0)
			if c.team != "" {
				ran = 1
			}
			assert.Equal(t, f.taken.Load()-f.returned.Load(), ran, "requests that stay taken from the allowance")
		})
	}
}

// Guards against a retry that runs for a team that lost the key after the first
// attempt, and against a refusal that says that the request has not run.
func TestKeyChangesBetweenAttempts(t *testing.T) {
	f := newKeyedFixture(t, team("a", secretKey))
	broken := func(s *server, w http.ResponseWriter, r *http.Request) {
		f.setTeams(team("a"))
		reset(s, w, r)
	}
	g := newFixture(t, 2, broken, broken)
	view := *f.current.Load()
	view.Backends = g.view.Backends
	f.current.Store(&view)
	f.handler.Balancer.Update(time.Now(), view)
	assert.Equal(t, f.ask(t, idempotent, token).StatusCode, http.StatusBadGateway)
	assert.Equal(t, g.runs(), 1)
}

// Guards against a key that is checked before the body has arrived only.
func TestKeyChangesWhileBodyIsRead(t *testing.T) {
	for name, c := range map[string]struct {
		before, after []shfleet.Team
		status        int
	}{
		"taken away":    {[]shfleet.Team{team("a", secretKey)}, []shfleet.Team{team("a")}, 401},
		"given":         {[]shfleet.Team{team("a")}, []shfleet.Team{team("a", secretKey)}, 200},
		"first teams":   {nil, []shfleet.Team{team("a", secretKey)}, 200},
		"without a key": {nil, []shfleet.Team{team("a")}, 401},
	} {
		t.Run(name, func(t *testing.T) {
			f := newKeyedFixture(t, c.before...)
			conn := f.dial(t)
			fmt.Fprint(conn, head(idempotent, token, "Content-Length: 4")+"\r\nab")
			time.Sleep(50 * time.Millisecond)
			f.setTeams(c.after...)
			fmt.Fprint(conn, "cd")
			r := readAnswer(t, bufio.NewReader(conn))
			assert.Equal(t, r.StatusCode, c.status)
			if c.status == http.StatusOK {
				assertShown(t, r, "a")
			}
		})
	}
}

// Guards against 404 for a route that was added before the body had arrived.
func TestRouteAddedWhileBodyIsRead(t *testing.T) {
	f := newKeyedFixture(t)
	none := *f.current.Load()
	none.Table = shfleet.NewRouteIndex(shfleet.Table{})
	f.current.Store(&none)
	conn := f.dial(t)
	fmt.Fprint(conn, head(idempotent, token, "Content-Length: 4")+"\r\nab")
	time.Sleep(50 * time.Millisecond)
	f.setTeams(team("a", secretKey))
	fmt.Fprint(conn, "cd")
	assertShown(t, readAnswer(t, bufio.NewReader(conn)), "a")
}

// Guards against a connection that keeps the team of its first request.
func TestKeyChangesBetweenPipelinedRequests(t *testing.T) {
	f := newKeyedFixture(t, team("a", secretKey))
	f.atTake = func() {
		// The second request is already on its way.
		time.Sleep(50 * time.Millisecond)
	}
	conn := f.dial(t)
	fmt.Fprint(conn, strings.Repeat(head(idempotent, token)+"\r\n", 3))
	reader := bufio.NewReader(conn)
	assertShown(t, readAnswer(t, reader), "a")
	f.setTeams(team("a"))
	second := readAnswer(t, reader).StatusCode
	assert.Assert(t, second == http.StatusUnauthorized || second == http.StatusOK)
	assert.Equal(t, readAnswer(t, reader).StatusCode, http.StatusUnauthorized)
}

// Guards against a caller that names its own team, and a key that is shown to backend
// servers.
func TestTeamIsSetByUs(t *testing.T) {
	f := newKeyedFixture(t, team("a", secretKey))
	for name, lines := range map[string][]string{
		"none":                {token},
		"other case":          {"tEAM: b", token},
		"several":             {"Team: b", "TEAM: c", token},
		"named in connection": {"Team: b", "Connection: Team, X", token},
		"key in connection":   {"Connection: authorization", token},
		"lower-case key":      {strings.ToLower("Authorization") + ": Token " + secretKey},
	} {
		t.Run(name, func(t *testing.T) { assertShown(t, f.ask(t, idempotent, lines...), "a") })
	}
}

// Guards against public routes that need a key, or that name a team that does not hold
// the key any more.
func TestPublicRoute(t *testing.T) {
	f := newKeyedFixture(t, team("a", secretKey))
	assertShown(t, f.ask(t, aPublic, "Team: b"), "")
	assertShown(t, f.ask(t, aPublic, token), "a")
	assertShown(t, f.ask(t, aPublic, "Authorization: Token other"), "")
	f.clock.Store(int64(permissionEnd))
	assertShown(t, f.ask(t, aPublic), "")
	assert.Equal(t, f.ask(t, aPublic, token).StatusCode, http.StatusServiceUnavailable)
}

// Guards against a caller that names its own team while the first teams are added.
func TestFirstTeamsBeforeSending(t *testing.T) {
	f := newKeyedFixture(t)
	before := f.current.Load()
	f.setTeams(team("a", secretKey))
	loads := 0
	f.handler.View = func() *shfleet.View {
		// The view is loaded when the request arrives and when its body has been read.
		if loads++; loads <= 2 {
			return before
		}
		return f.current.Load()
	}
	assertShown(t, f.ask(t, aPublic, "Team: b", token), "a")
}

// Guards against a request without a valid key that runs, and against 401 from a VM
// that may not know the newest keys.
func TestKeyIsNeeded(t *testing.T) {
	f := newKeyedFixture(t, team("a", secretKey))
	f.clock.Store(int64(permissionEnd - 1))
	for _, line := range []string{"Other: x", "Authorization: Token other", "Authorization:"} {
		assertRefused(t, f, f.ask(t, idempotent, line), http.StatusUnauthorized)
	}
	assertShown(t, f.ask(t, idempotent, token), "a")
	f = newKeyedFixture(t, team("a", secretKey))
	f.clock.Store(int64(permissionEnd))
	for _, line := range []string{token, "Authorization: Token other", "Other: x"} {
		assertRefused(t, f, f.ask(t, idempotent, line), http.StatusServiceUnavailable)
	}
	metrics := writtenMetrics(f.handler)
	assert.Assert(t, strings.Contains(metrics, `sequoiahollow_keys_refused_total{cause="permission ended"} 3`), metrics)
}

// Guards against a request of a team that is served outside its regions.
func TestRegionsOfRouteAndTeamBind(t *testing.T) {
	elsewhere := team("a", secretKey)
	for _, regions := range [][]shmodel.Region{{"r2"}, {"unknown"}} {
		elsewhere.Regions = regions
		f := newKeyedFixture(t, elsewhere)
		assertRefused(t, f, f.ask(t, idempotent, token), http.StatusServiceUnavailable)
	}
}

// Guards against keys in logs, metrics and account records, and against account
// records of a team that lack its name.
func TestKeyIsNotLogged(t *testing.T) {
	f := newKeyedFixture(t, team("a", secretKey))
	account := &recordedAccount{}
	f.handler.Account = account
	const unknown = "k-unknown-77"
	f.ask(t, idempotent, token)
	f.ask(t, idempotent, "Authorization: Token "+unknown)
	f.ask(t, "/nowhere", token)
	for i, r := range account.records {
		known := r.Kind == shrecord.Opened || r.Kind == shrecord.Closed
		assert.Equal(t, r.Team == "a", known, "record %d: %+v", i, r)
	}
	f.atTake = func() { f.setTeams(team("a")) }
	f.ask(t, idempotent, token)
	written := f.log.String() + writtenMetrics(f.handler) + fmt.Sprintf("%+v", account.records)
	assert.Assert(t, strings.Contains(written, "no team holds the key"), written)
	for _, key := range []string{secretKey, unknown} {
		digest, err := shfleet.DigestKey(key).MarshalText()
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(written, key) && !strings.Contains(written, string(digest[:8])), written)
	}
}

// recordedAccount keeps account records.
type recordedAccount struct{ records []shrecord.Record }

func (a *recordedAccount) Next() shmodel.RequestID { return 0 }

func (a *recordedAccount) Write(r []shrecord.Record) { a.records = append(a.records, r...) }

func writtenMetrics(h *shfront.Handler) string {
	var b strings.Builder
	h.Metrics.WritePrometheus(&b)
	return b.String()
}

// Load: callers of a team beyond its allowance, or without a key, send large bodies.
// Guards against bodies that take the link of the VM though their requests are refused.
func TestRefusedBeforeLongBody(t *testing.T) {
	f := newKeyedFixture(t, team("a"))
	for _, framing := range []string{"Content-Length: 300000", "Transfer-Encoding: chunked"} {
		c := f.dial(t)
		fmt.Fprintf(c, "POST /idempotent/ HTTP/1.1\r\nHost: shop\r\nId: 1\r\n%s\r\n%s\r\n\r\n", token, framing)
		r := readAnswer(t, bufio.NewReader(c))
		assert.Equal(t, r.StatusCode, http.StatusUnauthorized)
		assert.Assert(t, r.Close, "the connection stays open with a body that is not read")
	}
}
