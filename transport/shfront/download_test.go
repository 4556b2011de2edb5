package shfront_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

const downloadBytes = 256 << 10

// sendHead announces an answer of downloadBytes and sends its first half.
func sendHead(s *server, w http.ResponseWriter, r *http.Request) {
	s.runs.Add(1)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "sealed")
	w.Header().Set("Content-Length", strconv.Itoa(downloadBytes))
	io.WriteString(w, strings.Repeat("a", downloadBytes/2))
	w.(http.Flusher).Flush()
}

func newDownloadFixture(t *testing.T, b behaviour) *fixture {
	f := newFixture(t, 2, b)
	f.view.Table = shfleet.NewRouteIndex(shfleet.Table{Routes: []shfleet.Route{{
		Name: "download", Host: "shop", Prefix: "/", Kind: shmodel.Idempotent, Download: true, Objective: 1000, Timeout: 2000,
		Attempts: 2, Parts: []shfleet.Part{{Service: "s", Weight: 1}},
	}}})
	f.handler.Balancer.Update(time.Now(), f.view)
	return f
}

// Guards against a download that is held until it is complete, and against a
// connection to the backend server that is lost after it.
func TestDownloadIsPassedOn(t *testing.T) {
	rest := make(chan struct{})
	f := newDownloadFixture(t, func(s *server, w http.ResponseWriter, r *http.Request) {
		sendHead(s, w, r)
		select {
		case <-rest:
		case <-r.Context().Done():
			return
		}
		io.WriteString(w, strings.Repeat("b", downloadBytes/2))
	})
	response := f.send(t, "GET", "/x", "")
	half := make([]byte, downloadBytes/2)
	_, err := io.ReadFull(response.Body, half)
	assert.NilError(t, err)
	close(rest)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), strings.Repeat("b", downloadBytes/2))
}

// Guards against a download that broke off and looks complete, and against one
// that is sent again at its full length.
func TestDownloadBreaksOff(t *testing.T) {
	f := newDownloadFixture(t, func(s *server, w http.ResponseWriter, r *http.Request) {
		sendHead(s, w, r)
		panic(http.ErrAbortHandler)
	})
	response := f.send(t, "GET", "/x", "")
	_, err := io.ReadAll(response.Body)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	assert.Equal(t, f.runs(), 1)
}

// Guards against a backend server that goes on with a download whose caller has
// closed its connection.
func TestCallerLeavesDownload(t *testing.T) {
	left := make(chan struct{})
	f := newDownloadFixture(t, func(s *server, w http.ResponseWriter, r *http.Request) {
		sendHead(s, w, r)
		<-r.Context().Done()
		close(left)
	})
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	io.WriteString(c, "GET /x HTTP/1.1\r\nHost: shop\r\nId: 1\r\n\r\n")
	_, err = io.ReadFull(c, make([]byte, downloadBytes/2))
	assert.NilError(t, err)
	c.Close()
	select {
	case <-left:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the backend server still works 0.4 s after the caller left")
	}
}
