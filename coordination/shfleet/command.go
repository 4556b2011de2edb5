package shfleet

import (
	"encoding/json"
	"errors"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

// Command is a change to the replicated state. Only types of this package
// implement Command.
type Command interface{ command() }

// PutDocument replaces the table if Document.Base is the version in force and
// Document.Version is higher. A repeated document is accepted again.
type PutDocument struct {
	Document Document `json:"document"`
}

// SetEvacuation starts or ends the evacuation of a failure domain. Its result is
// Conflict if it would change that and Base is not the log index of the last change.
type SetEvacuation struct {
	Zone      shmodel.FailureDomain `json:"zone"`
	Evacuated bool                  `json:"evacuated"`
	// Base is State.EvacuateAt when the order arrived, nil in commands of earlier builds.
	Base *uint64 `json:"base,omitempty"`
}

// PutBackends records announcements of backend servers. An announcement is
// ignored if its process lifetime has ended, a newer lifetime is known for the
// ID or the address, or a later announcement of the lifetime was recorded.
type PutBackends struct {
	Backends []Backend `json:"backends"`
	// Sequences are the numbers of the announcements, nil in commands of earlier builds.
	// They increase with each announcement of a lifetime.
	Sequences []int64 `json:"sequences,omitempty"`
}

// RemoveBackends removes backend servers. If Ended is set, later announcements
// of the same process lifetimes are ignored; otherwise an announcement adds the
// backend server again. An Instance without Born means the last known lifetime
// of its ID.
type RemoveBackends struct {
	Instances []Instance `json:"instances"`
	Ended     bool       `json:"ended,omitempty"`
}

// PutEntry records the announcement of an entry VM.
type PutEntry struct {
	Entry Entry `json:"entry"`
}

// RemoveEntries removes entry VMs whose announcements stopped.
type RemoveEntries struct {
	VMs []shmodel.VM `json:"vms"`
}

// PutControl records the announcement of a control VM.
type PutControl struct {
	Control Control `json:"control"`
}

// ReserveRange reserves numbers of account records. State.Ranges.FindReserved
// returns the reserved range.
type ReserveRange struct {
	shcontrol.ReserveRange
}

// ReportCrash counts a crash of a backend server against the digest of the
// request that it ran. If Cleared is set, a request with the digest succeeded,
// and its count is removed.
type ReportCrash struct {
	Digest  shmodel.Digest `json:"digest"`
	Cleared bool           `json:"cleared,omitempty"`
	// Service is what the request was sent to, "" in reports of earlier builds.
	Service shmodel.Service `json:"service,omitempty"`
	// Instance is the backend server that crashed, nil in reports of earlier builds.
	// The state does not use it: the leader drops repeated reports.
	Instance *Instance `json:"instance,omitempty"`
}

func (PutDocument) command()    {}
func (SetEvacuation) command()  {}
func (PutBackends) command()    {}
func (RemoveBackends) command() {}
func (PutEntry) command()       {}
func (RemoveEntries) command()  {}
func (PutControl) command()     {}
func (ReserveRange) command()   {}
func (ReportCrash) command()    {}

// Result is the outcome of a PutDocument or SetEvacuation; other commands always succeed.
type Result string

// Results.
const (
	// Accepted says that the command is in force or was accepted before.
	Accepted Result = "accepted"
	// Conflict says that another version is in force.
	Conflict Result = "conflict"
)

// wireCommand is the JSON form of a Command. Exactly one field is set.
type wireCommand struct {
	PutDocument    *PutDocument    `json:"putDocument,omitempty"`
	SetEvacuation  *SetEvacuation  `json:"setEvacuation,omitempty"`
	PutBackends    *PutBackends    `json:"putBackends,omitempty"`
	RemoveBackends *RemoveBackends `json:"removeBackends,omitempty"`
	PutEntry       *PutEntry       `json:"putEntry,omitempty"`
	RemoveEntries  *RemoveEntries  `json:"removeEntries,omitempty"`
	PutControl     *PutControl     `json:"putControl,omitempty"`
	ReserveRange   *ReserveRange   `json:"reserveRange,omitempty"`
	ReportCrash    *ReportCrash    `json:"reportCrash,omitempty"`
}

// EncodeCommand returns the JSON form of a command.
func EncodeCommand(c Command) ([]byte, error) {
	var w wireCommand
	switch c := c.(type) {
	case PutDocument:
		w.PutDocument = &c
	case SetEvacuation:
		w.SetEvacuation = &c
	case PutBackends:
		w.PutBackends = &c
	case RemoveBackends:
		w.RemoveBackends = &c
	case PutEntry:
		w.PutEntry = &c
	case RemoveEntries:
		w.RemoveEntries = &c
	case PutControl:
		w.PutControl = &c
	case ReserveRange:
		w.ReserveRange = &c
	case ReportCrash:
		w.ReportCrash = &c
	}
	return json.Marshal(w)
}

// DecodeCommand decodes the JSON form that EncodeCommand returns.
func DecodeCommand(data []byte) (Command, error) {
	var w wireCommand
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, &Error{Op: "decode command", Kind: KindMalformed, Err: err}
	}
	switch {
	case w.PutDocument != nil:
		return *w.PutDocument, nil
	case w.SetEvacuation != nil:
		return *w.SetEvacuation, nil
	case w.PutBackends != nil:
		return *w.PutBackends, nil
	case w.RemoveBackends != nil:
		return *w.RemoveBackends, nil
	case w.PutEntry != nil:
		return *w.PutEntry, nil
	case w.RemoveEntries != nil:
		return *w.RemoveEntries, nil
	case w.PutControl != nil:
		return *w.PutControl, nil
	case w.ReserveRange != nil:
		return *w.ReserveRange, nil
	case w.ReportCrash != nil:
		return *w.ReportCrash, nil
	}
	return nil, &Error{Op: "decode command", Kind: KindMalformed, Err: errors.New("no known command")}
}
