package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shloopback"
	"sequoiahollow/transport/shmalformed"
)

// entryVM starts a stand-in for an entry VM and returns its address. It answers
// lookups with a closed address and twice its own, and requests with serve.
func entryVM(t *testing.T, serve http.HandlerFunc) string {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	closed := shloopback.Free(t)
	mux.HandleFunc("GET "+shwire.PathEntries, func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(shwire.Entries{
			Service: shmodel.Service(r.FormValue("service")), Revision: 3, CacheForMS: 5000,
			Entries: []shwire.EntryAddress{{VM: "gone", Address: closed}, {VM: "here", Address: address}, {VM: "next", Address: address}},
		})
	})
	mux.HandleFunc("/", serve)
	return address
}

// TestRequestOutcomes guards against an exit code that tells a caller that a
// request did not run when it may have.
func TestRequestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		outcome string
		status  int
		length  string
		want    int
	}{
		"answered":         {"answered", 200, "", exitOK},
		"answered, error":  {"answered", 500, "", exitFailure},
		"not run":          {"not-run", 503, "", exitNotRun},
		"unknown":          {"unknown", 504, "", exitUnknown},
		"no outcome":       {"", 200, "", exitUnknown},
		"strange outcome":  {"perhaps", 200, "", exitUnknown},
		"answer broke off": {"answered", 200, "1000", exitUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			address := entryVM(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(shwire.HeaderOutcome, c.outcome)
				if c.length != "" {
					w.Header().Set("Content-Length", c.length)
				}
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, "body")
			})
			code, _, stderr := execute(t, "request", "--entry", address, "--service", "s")
			assert.Equal(t, code, c.want, stderr)
		})
	}
}

// TestRequestEndless guards against an answer without end that takes the memory of the machine.
func TestRequestEndless(t *testing.T) {
	piece := make([]byte, 64<<10)
	address := entryVM(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(shwire.HeaderOutcome, "answered")
		for {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	})
	code, out, stderr := execute(t, "request", "--entry", address, "--service", "s", "--timeout", "5s")
	assert.Equal(t, code, exitUnknown)
	assert.Assert(t, len(out) <= 65<<20, "%d bytes", len(out))
	assertContains(t, stderr, "longer than")
}

// TestRequestStatuses guards against a status that is none and passes for an answer.
func TestRequestStatuses(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			address := entryVM(t, func(w http.ResponseWriter, _ *http.Request) {
				c, buffer, err := http.NewResponseController(w).Hijack()
				assert.Check(t, err)
				defer c.Close()
				fmt.Fprintf(buffer, "HTTP/1.1 %s x\r\n%s: answered\r\nContent-Length: 0\r\n\r\n", status, shwire.HeaderOutcome)
				assert.Check(t, buffer.Flush())
			})
			code, _, stderr := execute(t, "request", "--entry", address, "--service", "s")
			assert.Equal(t, code, exitUnknown, stderr)
		})
	}
}

// TestRequestConnectionBreaks guards against a second execution: after the
// connection closes without an answer, the request must not go to another entry
// VM.
func TestRequestConnectionBreaks(t *testing.T) {
	var calls atomic.Int32
	address := entryVM(t, func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	})
	code, _, _ := execute(t, "request", "--entry", address, "--service", "s")
	assert.Equal(t, code, exitUnknown)
	assert.Equal(t, calls.Load(), int32(1))
}

// TestRequestContent guards against headers or bodies that do not arrive.
func TestRequestContent(t *testing.T) {
	address := entryVM(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(shwire.HeaderOutcome, "answered")
		w.Header().Set(shwire.HeaderRequestID, "00000000000000aa")
		fmt.Fprint(w, r.Method, " ", r.URL, " ", r.Header.Get(shwire.HeaderService), " ", r.Header.Get(shwire.HeaderKey),
			" ", r.Header.Get(shwire.HeaderTimeout), " ", string(body))
	})
	t.Setenv("SEQUOIAHOLLOW_ENTRY", address)
	code, out, stderr := execute(t, "request", "--service", "s", "--method", "POST", "--path", "/orders?x=1",
		"--key", "k", "--body", "@-", "--timeout", "3s")
	assert.Equal(t, code, exitOK)
	assert.Equal(t, out, "POST /orders?x=1 s k 3000 from stdin")
	assertContains(t, stderr, "answered: status 200, request 00000000000000aa, entry "+address)

	code, out, _ = execute(t, "request", "--service", "s", "--json")
	assert.Equal(t, code, exitOK)
	assertContains(t, out, `"outcome": "answered"`)
}

// TestLookup guards against a lookup that changes the order of the entry VMs.
func TestLookup(t *testing.T) {
	address := entryVM(t, http.NotFound)
	code, out, _ := execute(t, "lookup", "--entry", address, "--service", "s")
	assert.Equal(t, code, exitOK)
	assertContains(t, out, "service s, revision 3, cache for 5s\ngone ")
	code, _, _ = execute(t, "lookup", "--entry", "127.0.0.1:1", "--service", "s")
	assert.Equal(t, code, exitFailure)
}

// TestRequestReset guards against a part of an answer that passes for the whole because
// the connection was reset while the body of the request was still being written. Whether
// the write or the read gets the error varies, so rounds repeat it.
func TestRequestReset(t *testing.T) {
	const rounds = 40
	file := filepath.Join(t.TempDir(), "body")
	assert.NilError(t, os.WriteFile(file, make([]byte, 8<<20), 0o600))
	address := entryVM(t, func(w http.ResponseWriter, _ *http.Request) {
		c, buffer, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: answered\r\n\r\na part", shwire.HeaderOutcome)
		assert.Check(t, buffer.Flush())
		time.Sleep(2 * time.Millisecond)
		assert.Check(t, c.(*net.TCPConn).SetLinger(0))
		c.Close()
	})
	for range rounds {
		code, _, stderr := execute(t, "request", "--entry", address, "--service", "s", "--method", "POST", "--body", "@"+file)
		assert.Equal(t, code, exitUnknown, stderr)
	}
}

// TestRequestMalformed guards against bytes that HTTP does not allow and that pass for an
// answer.
func TestRequestMalformed(t *testing.T) {
	for name, text := range shmalformed.All(shwire.HeaderOutcome + ": answered\r\n") {
		t.Run(name, func(t *testing.T) {
			address := entryVM(t, func(w http.ResponseWriter, _ *http.Request) { shmalformed.Write(t, w, text) })
			code, _, stderr := execute(t, "request", "--entry", address, "--service", "s")
			assert.Equal(t, code, exitUnknown, stderr)
		})
	}
}
