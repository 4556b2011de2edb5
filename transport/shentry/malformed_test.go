package shentry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/transport/shmalformed"
)

// Guards against bytes that HTTP does not allow, of a backend server or of another entry
// VM, and that pass for an answer or for a proof that the request was not run.
func TestSendMalformedAnswers(t *testing.T) {
	for name, text := range shmalformed.All(shwire.HeaderRequestID + ": " + testID.String() + "\r\n") {
		for kind, once := range map[string]bool{"": true, " on a kept connection": false} {
			t.Run(name+kind, func(t *testing.T) {
				t.Parallel()
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/whole" {
						w.Header().Set(shwire.HeaderRequestID, testID.String())
						return
					}
					shmalformed.Write(t, w, text)
				}))
				defer s.Close()
				d := NewDispatcher()
				o := newRequest(s.Listener.Addr().String())
				o.NewConnection, o.FirstByteTimeout, o.URI = once, 10*time.Second, "/whole"
				_, fault := d.Send(context.Background(), o)
				assert.Equal(t, fault, Fault(""))
				o.URI = "/"
				in, fault := d.Send(context.Background(), o)
				assert.Assert(t, fault != "" && !fault.ProvesNotRun(), "fault %q, body %q, header %v", fault, in.Body, in.Header)
			})
		}
	}
}
