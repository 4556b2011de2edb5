package shfront

import (
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// attempt is one attempt to send a request to a backend server.
type attempt struct {
	at      time.Time
	backend shfleet.Backend
}

// writeRecords writes the account records of a request that has ended. A request
// without attempts gets one refusal record; any other an opening record, one
// record per attempt and a closing record. The field Key holds the request ID of
// the caller.
func (x *exchange) writeRecords(outcome string, status int, reason string, took time.Duration) {
	h := x.handler
	if h.Account == nil {
		return
	}
	base := shrecord.Record{
		RequestID: x.recordID, VM: h.Place.VM, At: x.received, Service: x.service, Method: x.request.Method,
		Path: pathOf(x.request.RequestURI), Key: x.id, Team: x.teamName(), FromRegion: h.Place.Region, RequestBytes: x.body.read,
	}
	if x.route != nil {
		base.Operation = x.route.Kind
	}
	end := base
	end.Kind, end.At = shrecord.Closed, x.received.Add(took)
	end.Outcome, end.Status, end.Reason = recordedOutcome(outcome, x.mayHaveRun), status, reason
	end.AnswerBytes, end.DurationUS = int64(x.answerBytes), took.Microseconds()
	if len(x.attempts) == 0 {
		end.Kind, end.Outcome = shrecord.Refused, shmodel.NotRun
		h.Account.Write([]shrecord.Record{end})
		return
	}
	if end.Outcome == shmodel.Unknown && end.Reason == "" {
		end.Reason = outcome
	}
	end.Attempts = uint32(len(x.attempts))
	records := make([]shrecord.Record, 0, len(x.attempts)+2)
	opening := base
	opening.Kind = shrecord.Opened
	records = append(records, opening)
	for i, a := range x.attempts {
		records = append(records, shrecord.Record{
			RequestID: x.recordID, Kind: shrecord.Attempted, Attempt: uint32(i + 1), VM: h.Place.VM, At: a.at,
			BackendServer: a.backend.ID, ToRegion: h.Place.Regions[a.backend.Zone],
		})
	}
	h.Account.Write(append(records, end))
}

// recordedOutcome returns the outcome for the account records. mayHaveRun is the
// number of backend servers that may have run the request.
func recordedOutcome(outcome string, mayHaveRun int) shmodel.Outcome {
	switch {
	case outcome == outcomeAnswered:
		return shmodel.Answered
	case mayHaveRun == 0 && outcome != outcomeCanceled:
		return shmodel.NotRun
	}
	return shmodel.Unknown
}
