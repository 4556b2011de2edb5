package shcaller

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
)

// entry is an entry VM that lists itself behind the addresses first, and counts
// look-ups and requests.
type entry struct {
	lookups, requests atomic.Int32
	address           string
}

func startEntry(t *testing.T, cacheForMS int64, first []string, handle http.HandlerFunc) *entry {
	e := &entry{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != shwire.PathEntries {
			e.requests.Add(1)
			handle(w, r)
			return
		}
		e.lookups.Add(1)
		answer := shwire.Entries{CacheForMS: cacheForMS}
		for _, address := range append(first, e.address) {
			answer.Entries = append(answer.Entries, shwire.EntryAddress{Address: address})
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	t.Cleanup(s.Close)
	e.address = strings.TrimPrefix(s.URL, "http://")
	return e
}

func answered(w http.ResponseWriter, status int) {
	w.Header().Set(shwire.HeaderOutcome, string(shmodel.Answered))
	w.Header().Set(shwire.HeaderRequestID, shmodel.RequestID(1).String())
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "body")
}

func ok(w http.ResponseWriter, _ *http.Request) { answered(w, http.StatusOK) }

func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a request that is sent again although it may have run and must
// not run twice, and against one that is given up although it may be sent again.
func TestResend(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	dead := l.Addr().String()
	bad := startEntry(t, 0, nil, broken)
	for _, c := range []struct {
		name, first, method, key string
		sends                    int
	}{
		{"POST, refused", dead, http.MethodPost, "", 2},
		{"POST, broken", bad.address, http.MethodPost, "", 0},
		{"POST with key, broken", bad.address, http.MethodPost, "k", 2},
		{"GET, broken", bad.address, http.MethodGet, "", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			good := startEntry(t, 0, []string{c.first}, ok)
			client := Client{Seeds: []string{good.address}}
			a, err := client.Do(t.Context(), Request{Service: "s", Method: c.method, URI: "/x", Key: c.key})
			assert.Equal(t, err == nil, c.sends > 0)
			assert.Equal(t, a.Sends, c.sends)
			assert.Equal(t, good.requests.Load() > 0, c.sends > 0)
		})
	}
}

// Guards against a redirect of a backend server that is followed: the second
// request would have the key of the first, and its answer would hide the first.
func TestRedirectIsAnAnswer(t *testing.T) {
	e := startEntry(t, 0, nil, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Location", "/done")
		answered(w, http.StatusSeeOther)
	})
	client := Client{Seeds: []string{e.address}}
	a, err := client.Do(t.Context(), Request{Service: "s", Method: http.MethodPost, URI: "/pay", Key: "k"})
	assert.NilError(t, err)
	assert.Equal(t, a.Status, http.StatusSeeOther)
	assert.Equal(t, e.requests.Load(), int32(1))
}

// Guards against a client that asks before each request, or keeps an answer for
// longer than it may.
func TestLookupCache(t *testing.T) {
	for cacheForMS, lookups := range map[int64]int32{0: 3, 60_000: 1} {
		e := startEntry(t, cacheForMS, nil, ok)
		client := Client{Seeds: []string{e.address}}
		for range 3 {
			_, err := client.Do(t.Context(), Request{Service: "s", Method: http.MethodGet, URI: "/x"})
			assert.NilError(t, err)
		}
		assert.Equal(t, e.lookups.Load(), lookups)
	}
}

// Guards against a zero Client that panics, and an error that names no reason.
func TestZeroClient(t *testing.T) {
	var c Client
	c.Forget("ledger")
	_, err := c.Lookup(t.Context(), "ledger")
	e, ok := errors.AsType[*Error](err)
	assert.Assert(t, ok)
	assert.Equal(t, e.Kind, KindLookup)
	assert.Error(t, err, "lookup: lookup: no entry VM to ask")
}
