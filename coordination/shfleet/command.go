package shfleet

import (
	"encoding/json"
	"errors"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

// Command is a change to the replicated state. The set is closed.
type Command interface{ command() }

// PutDocument replaces the table if Document.Base is the version in force and
// Document.Version is higher. A repeated document is accepted again.
type PutDocument struct {
	Document Document `json:"document"`
}

// SetEvacuation starts or ends the evacuation of a failure domain.
type SetEvacuation struct {
	Zone      shmodel.FailureDomain `json:"zone"`
	Evacuated bool                  `json:"evacuated"`
}

// PutBackends records announcements. One of an older lifetime than known for
// the ID or the address, or of a lifetime that has ended, is ignored.
type PutBackends struct {
	Backends []Backend `json:"backends"`
}

// RemoveBackends takes backend servers out. With Ended their lifetimes are over
// for good; without it a later announcement brings them back. An instance without
// Born means the lifetime that was heard of last.
type RemoveBackends struct {
	Instances []Instance `json:"instances"`
	Ended     bool       `json:"ended,omitempty"`
}

// PutEntry records what an entry VM says of itself.
type PutEntry struct {
	Entry Entry `json:"entry"`
}

// RemoveEntries takes out entry VMs that are gone.
type RemoveEntries struct {
	VMs []shmodel.VM `json:"vms"`
}

// PutControl records what a control VM says of itself.
type PutControl struct {
	Control Control `json:"control"`
}

// ReserveRange reserves numbers of account records; ReservedAs tells which.
type ReserveRange struct {
	shcontrol.ReserveRange
}

// ReportCrash counts a strike against the digest of a request whose backend
// server broke down while running it. With Cleared the digest ran to a good end
// and is forgotten.
type ReportCrash struct {
	Digest  shmodel.Digest `json:"digest"`
	Cleared bool           `json:"cleared,omitempty"`
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

// Result is the outcome of a PutDocument; other commands always succeed.
type Result string

// Results.
const (
	// Accepted says that the document is in force or was accepted before.
	Accepted Result = "accepted"
	// Conflict says that another version is in force.
	Conflict Result = "conflict"
)

// wireCommand is the JSON form of a Command. One field is set.
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

// DecodeCommand reads what EncodeCommand wrote.
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
