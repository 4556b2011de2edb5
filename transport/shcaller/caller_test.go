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
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shloopback"
	"sequoiahollow/transport/shmalformed"
)

// entry is a stand-in entry VM that counts lookups and requests. It answers
// lookups with the addresses in first, followed by its own.
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

func writeAnswer(w http.ResponseWriter, status int) {
	w.Header().Set(shwire.HeaderOutcome, string(shmodel.Answered))
	w.Header().Set(shwire.HeaderRequestID, shmodel.RequestID(1).String())
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "body")
}

func ok(w http.ResponseWriter, _ *http.Request) { writeAnswer(w, http.StatusOK) }

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a request that is sent again although it may have run and must
// not run twice, and against one that is not sent again although it may be.
func TestResend(t *testing.T) {
	unreachable := shloopback.Free(t)
	aborting := startEntry(t, 0, nil, abort)
	for _, c := range []struct {
		name, first, method, key string
		sends                    int
	}{
		{"POST, refused", unreachable, http.MethodPost, "", 2},
		{"POST, broken", aborting.address, http.MethodPost, "", 0},
		{"POST with key, broken", aborting.address, http.MethodPost, "k", 2},
		{"GET, broken", aborting.address, http.MethodGet, "", 2},
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

// Guards against following a redirect of a backend server: the second request
// would have the key of the first, and the caller would not get the first
// answer.
func TestRedirectIsAnAnswer(t *testing.T) {
	e := startEntry(t, 0, nil, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Location", "/done")
		writeAnswer(w, http.StatusSeeOther)
	})
	client := Client{Seeds: []string{e.address}}
	a, err := client.Do(t.Context(), Request{Service: "s", Method: http.MethodPost, URI: "/pay", Key: "k"})
	assert.NilError(t, err)
	assert.Equal(t, a.Status, http.StatusSeeOther)
	assert.Equal(t, e.requests.Load(), int32(1))
}

// Guards against a status that is none as an answer, and against a request that is sent
// again after it although it may have run.
func TestStatuses(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for method, requests := range map[string]int32{http.MethodPost: 1, http.MethodGet: 2} {
			t.Run(status+" "+method, func(t *testing.T) {
				var sent atomic.Int32
				bad := func(w http.ResponseWriter, _ *http.Request) {
					sent.Add(1)
					c, buffer, _ := http.NewResponseController(w).Hijack()
					defer c.Close()
					_, _ = buffer.WriteString("HTTP/1.1 " + status + " x\r\n" + shwire.HeaderOutcome + ": answered\r\nContent-Length: 0\r\n\r\n")
					_ = buffer.Flush()
				}
				other := startEntry(t, 0, nil, bad)
				e := startEntry(t, 0, []string{other.address}, bad)
				client := Client{Seeds: []string{e.address}}
				_, err := client.Do(t.Context(), Request{Service: "s", Method: method, URI: "/x"})
				assert.ErrorContains(t, err, "status")
				assert.Equal(t, sent.Load(), requests)
			})
		}
	}
}

// Guards against a lookup that is answered with a status that is none. Only 200 is
// accepted there.
func TestLookupStatuses(t *testing.T) {
	for _, status := range []string{"000", "101", "600"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, buffer, _ := http.NewResponseController(w).Hijack()
			defer c.Close()
			_, _ = buffer.WriteString("HTTP/1.1 " + status + " x\r\n\r\n{\"entries\":[{\"address\":\"a\"}]}")
			_ = buffer.Flush()
		}))
		t.Cleanup(s.Close)
		client := Client{Seeds: []string{strings.TrimPrefix(s.URL, "http://")}}
		_, err := client.Lookup(t.Context(), "s")
		assert.ErrorContains(t, err, "answered with status")
	}
}

// Guards against a client that sends a lookup before each request, or caches an
// answer for longer than the answer permits.
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

// Guards against a zero Client that panics, and against an error without a
// reason.
func TestZeroClient(t *testing.T) {
	var c Client
	c.ExpireLookup("ledger")
	_, err := c.Lookup(t.Context(), "ledger")
	e, ok := errors.AsType[*Error](err)
	assert.Assert(t, ok)
	assert.Equal(t, e.Kind, KindLookup)
	assert.Error(t, err, "lookup: lookup: no entry VM to ask")
}

// resetMidway answers with a part of a body without a length and resets the connection
// while the request is still being written.
func resetMidway(w http.ResponseWriter, _ *http.Request) {
	c, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n" + shwire.HeaderOutcome + ": answered\r\n\r\na part")
	_ = buffer.Flush()
	time.Sleep(2 * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against a part of an answer that is taken for the whole. Whether the write or the
// read gets the error of the connection varies, so rounds repeat it.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 60
	e := startEntry(t, 60000, nil, resetMidway)
	c := &Client{Seeds: []string{e.address}}
	for range rounds {
		_, err := c.Do(t.Context(), Request{Service: "s", Method: http.MethodPost, URI: "/", Body: make([]byte, 8<<20)})
		assert.Assert(t, err != nil, "a part was taken for the whole answer")
	}
}

// Guards against bytes that HTTP does not allow and that pass for an answer.
func TestMalformedAnswers(t *testing.T) {
	for name, text := range shmalformed.All(shwire.HeaderOutcome + ": answered\r\n") {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, 60000, nil, func(w http.ResponseWriter, _ *http.Request) { shmalformed.Write(t, w, text) })
			c := &Client{Seeds: []string{e.address}}
			a, err := c.Do(t.Context(), Request{Service: "s", Method: http.MethodPost, URI: "/"})
			assert.Assert(t, err != nil, "body %q, header %v", a.Body, a.Header)
			assert.Equal(t, e.requests.Load(), int32(1))
		})
	}
}
