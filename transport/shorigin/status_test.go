package shorigin_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shorigin"
)

// Guards against an answer whose status is none, which a backend server in trouble sent:
// it must neither be passed on nor be waited behind, and its connection must be closed.
func TestStatuses(t *testing.T) {
	for _, c := range []struct {
		status string
		kind   shorigin.Kind
	}{
		{"000", shorigin.KindGarbled},
		{"001", shorigin.KindGarbled},
		{"099", shorigin.KindGarbled},
		{"101", shorigin.KindGarbled},
		{"600", shorigin.KindGarbled},
		{"999", shorigin.KindGarbled},
		{"0", shorigin.KindGarbled},
		{"2000", shorigin.KindGarbled},
		{"-01", shorigin.KindGarbled},
		{"200", ""},
		{"599", ""},
	} {
		for name, behind := range map[string]string{"alone": "", "before an answer": good} {
			t.Run(c.status+" "+name, func(t *testing.T) {
				s := newStub(t, "HTTP/1.1 "+c.status+" x\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok"+behind)
				client := &shorigin.Client{}
				for i := range 2 {
					began := time.Now()
					response, err := client.Do(context.Background(), s.address(), request(fmt.Sprint(i), 400*time.Millisecond))
					assert.Equal(t, shorigin.KindOf(err), c.kind)
					if c.kind == "" {
						assert.Equal(t, fmt.Sprint(response.Status), c.status)
						continue
					}
					assert.Assert(t, time.Since(began) < 300*time.Millisecond)
					assert.Assert(t, !response.Reused)
				}
			})
		}
	}
}
