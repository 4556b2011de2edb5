package shsteer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shloopback"
)

// Guards against a planned stop that cuts off the answer of a caller who has sent
// its next request before it has read that answer.
func TestStopDeliversAnswersToPipeliningCallers(t *testing.T) {
	const (
		work        = 100 * time.Millisecond
		answerBytes = 64 << 10
	)
	address := shloopback.Free(t)
	p := newProcess(shsettings.Fleet{}, slog.New(slog.DiscardHandler))
	err := p.listen(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		w.Header().Set("Connection", "close")
		io.WriteString(w, strings.Repeat("x", answerBytes))
	}))
	assert.NilError(t, err)

	// The window of a caller is much smaller than an answer.
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
		return errors.Join(err, optionErr)
	}}
	var callers sync.WaitGroup
	for range 8 {
		c, err := dialer.Dial("tcp", address)
		assert.NilError(t, err)
		callers.Go(func() {
			defer c.Close()
			fmt.Fprintf(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
			time.Sleep(work / 2)
			fmt.Fprintf(c, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
			time.Sleep(work)
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Errorf("no answer: %v", err)
				return
			}
			if n, err := io.Copy(io.Discard, answer.Body); err != nil {
				t.Errorf("the answer was cut off after %d of %d bytes: %v", n, answerBytes, err)
			}
		})
	}
	time.Sleep(work / 2)
	p.shutdown(5 * time.Second)
	// The process exits now, which closes what is still open.
	assert.NilError(t, p.close())
	callers.Wait()
}
