package shorigin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shmalformed"
	"sequoiahollow/transport/shorigin"
)

// Guards against bytes that HTTP does not allow and that pass for an answer, alone and on a
// connection that has brought another answer before.
func TestMalformedAnswers(t *testing.T) {
	for name, text := range shmalformed.All("Id: 1\r\n") {
		for before, skipped := range map[string]string{"": "", " behind another answer": "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nx"} {
			t.Run(name+before, func(t *testing.T) {
				t.Parallel()
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					shmalformed.Write(t, w, skipped+text)
				}))
				defer s.Close()
				began := time.Now()
				response, err := (&shorigin.Client{}).Do(context.Background(), s.Listener.Addr().String(), request("1", 10*time.Second))
				kind := shorigin.KindOf(err)
				assert.Assert(t, kind == shorigin.KindGarbled || kind == shorigin.KindBroken, "error %v, body %q, header %v", err, response.Body, response.Header)
				assert.Assert(t, time.Since(began) < 5*time.Second, "the request was held")
			})
		}
	}
}

// Guards against answers that HTTP allows and that are refused.
func TestUnusualAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\nId: 1\r\n\r\nok",
		"later minor version": "HTTP/1.2 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
		"no reason":           "HTTP/1.1 200 \r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
		"reason":              "HTTP/1.1 200 tout \xe0 fait\tbien\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
		"names":               "HTTP/1.1 200 OK\r\nid:1\r\n!#$%&'*+-.^_`|~09aZ: v\r\nCONTENT-LENGTH:\t2 \r\n\r\nok",
		"values":              "HTTP/1.1 200 OK\r\nId: 1\r\nX: a\tb \xff\r\nY:\r\nContent-Length: 2\r\n\r\nok",
		"equal lengths":       "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		"chunks":              "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: Chunked\r\n\r\n1;a=b\r\no\r\n001\r\nk\r\n0\r\nX: v\r\n\r\n",
		"interim answers":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { shmalformed.Write(t, w, text) }))
			defer s.Close()
			response, err := (&shorigin.Client{}).Do(context.Background(), s.Listener.Addr().String(), request("1", 10*time.Second))
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), "ok")
		})
	}
	t.Run("204 with a length of 0", func(t *testing.T) {
		s := newStub(t, "HTTP/1.1 204 No Content\r\nId: {id}\r\nContent-Length: 0\r\n\r\n")
		response, err := (&shorigin.Client{}).Do(context.Background(), s.address(), request("1", 10*time.Second))
		assert.NilError(t, err)
		assert.Equal(t, response.Status, http.StatusNoContent)
	})
}
