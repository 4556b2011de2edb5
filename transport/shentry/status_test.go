package shentry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shrequest"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
)

// Guards against an answer whose status is none, of a backend server in trouble or of
// another entry VM, that is taken for an answer, and against a connection that is used
// after it.
func TestSendStatuses(t *testing.T) {
	id := shwire.HeaderRequestID + ": " + testID.String() + "\r\n"
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, body := range []string{"", "body"} {
			t.Run(status+" "+body, func(t *testing.T) {
				address, _ := rawServer(t, responseText(status+" x", id, body, len(body)), 5)
				o := newRequest(address)
				o.NewConnection = false
				d := NewDispatcher()
				for range 2 {
					_, fault := d.Send(context.Background(), o)
					assert.Equal(t, fault, FaultStatus)
					assert.Assert(t, !fault.ProvesNotRun())
				}
			})
		}
	}
}

// Guards against a forwarded answer without a status that becomes a success on its way
// between entry VMs.
func TestForwardWithoutStatus(t *testing.T) {
	for outcome, status := range map[shmodel.Outcome]int{shmodel.NotRun: http.StatusOK, shmodel.Answered: 0} {
		w := httptest.NewRecorder()
		w.Code = 0
		h := &forwardHandler{entry: &Entry{}, writer: w}
		func() {
			defer func() { assert.Equal(t, recover() != nil, status == 0) }()
			h.answer(context.Background(), shrequest.Execution{Outcome: outcome})
		}()
		assert.Equal(t, w.Code, status)
	}
}

// Guards against a status that is none in an answer of this program: what was recorded
// before or comes from another entry VM may have one.
func TestCopyAnswerStatuses(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 999} {
		w := httptest.NewRecorder()
		_, err := copyAnswer(w, IncomingAnswer{Status: status, Header: http.Header{}}, testID, shmodel.Answered, nil)
		assert.ErrorContains(t, err, "status")
		assert.Assert(t, w.Body.Len() == 0 && !w.Flushed)
	}
}
