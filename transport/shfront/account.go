package shfront

import (
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// attempt is one backend server that a request was sent to.
type attempt struct {
	at      time.Time
	backend shfleet.Backend
}

// account writes the records of a request that has ended. A request that no
// backend server got leaves a refusal; all others an opening, their attempts and
// a closing record. The request ID of the caller stands in the key.
func (x *exchange) account(outcome string, status int, reason string, took time.Duration) {
	f := x.front
	if f.Account == nil {
		return
	}
	base := shrecord.Record{
		RequestID: x.number, VM: f.Place.VM, At: x.received, Service: x.service, Method: x.request.Method,
		Path: pathOf(x.request.RequestURI), Key: x.id, FromRegion: f.Place.Region, RequestBytes: int64(len(x.body)),
	}
	if x.route != nil {
		base.Operation = x.route.Kind
	}
	end := base
	end.Kind, end.At = shrecord.Closed, x.received.Add(took)
	end.Outcome, end.Status, end.Reason = recordedOutcome(outcome, x.sent), status, reason
	end.AnswerBytes, end.DurationUS = int64(x.answerBytes), took.Microseconds()
	if len(x.attempts) == 0 {
		end.Kind, end.Outcome = shrecord.Refused, shmodel.NotRun
		f.Account.Write([]shrecord.Record{end})
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
			RequestID: x.number, Kind: shrecord.Attempted, Attempt: uint32(i + 1), VM: f.Place.VM, At: a.at,
			BackendServer: a.backend.ID, ToRegion: f.Place.Regions[a.backend.Zone],
		})
	}
	f.Account.Write(append(records, end))
}

// recordedOutcome is what the account says of an outcome. Sent counts the
// backend servers that may have run the request.
func recordedOutcome(outcome string, sent int) shmodel.Outcome {
	switch {
	case outcome == outcomeAnswered:
		return shmodel.Answered
	case sent == 0 && outcome != outcomeCanceled:
		return shmodel.NotRun
	}
	return shmodel.Unknown
}
