package shcontrol

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shdocument"
)

const (
	// historyLength is the number of past revisions whose changes are kept.
	historyLength = 1000

	// maxRememberedEdits is the number of accepted edits whose resends are
	// recognized: 3 days of edits at the design size of 66,000 a day. A later
	// resend conflicts because of its base revision, so it cannot revert
	// anything.
	maxRememberedEdits = 200_000
)

// Revision describes one accepted edit.
type Revision struct {
	Number uint64    `json:"number"`
	EditID string    `json:"editId"`
	Author string    `json:"author,omitempty"`
	At     time.Time `json:"at"`
}

// Change is the difference between a revision of the configuration and a later
// one. Config, the whole configuration, is set instead of Patch if From is too
// old or the patch would be larger.
type Change struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Patch is an RFC 7396 merge patch of the JSON form of the configuration.
	Patch  json.RawMessage  `json:"patch,omitempty"`
	Config *shconfig.Config `json:"config,omitempty"`
}

// Apply returns the configuration at revision To. The configuration base must be
// that of revision From.
func (c Change) Apply(base shconfig.Config) (shconfig.Config, error) {
	if c.Config != nil {
		return *c.Config, nil
	}
	changed, err := applyPatch(base, c.Patch)
	if err != nil {
		return base, &Error{Op: "apply change", Kind: Malformed, Err: err}
	}
	return changed, nil
}

func applyPatch(base shconfig.Config, patch []byte) (shconfig.Config, error) {
	var changed shconfig.Config
	doc, err := shdocument.Encode(base)
	if err != nil {
		return base, err
	}
	changes, err := parsePatch(patch)
	if err != nil {
		return base, err
	}
	data, err := json.Marshal(shdocument.Merge(doc, changes))
	if err != nil {
		return base, err
	}
	err = decodeStrict(data, &changed)
	return changed, err
}

// parsePatch parses a merge patch, which must be a JSON object.
func parsePatch(data []byte) (*shdocument.Value, error) {
	patch, problems := shdocument.Parse("patch", data)
	if len(problems) > 0 {
		return nil, problems
	}
	if !patch.IsObject() {
		return nil, errors.New("the patch is no object")
	}
	return patch, nil
}

// revisions is the current configuration with its history.
type revisions struct {
	Current uint64          `json:"current"`
	Config  shconfig.Config `json:"config"`
	History []historyEntry  `json:"history"`
	// Edits holds accepted edits by edit ID.
	Edits agingMap[string, acceptedEdit] `json:"edits"`

	// changes caches the results of since for the current revision.
	changes map[uint64]Change
}

// historyEntry is a revision with the merge patch that restores the previous
// revision.
type historyEntry struct {
	Revision
	Undo json.RawMessage `json:"undo"`
}

// acceptedEdit is what is kept of an accepted edit to recognize its resends.
type acceptedEdit struct {
	Revision uint64 `json:"revision"`
	Sum      []byte `json:"sum"`
}

// edit applies an ApplyConfig.
func (r *revisions) edit(at time.Time, c ApplyConfig) Result {
	if c.EditID == "" {
		return Rejected{Reason: "an edit needs an edit ID"}
	}
	next, err := shdocument.Encode(c.Config)
	if err != nil {
		return Rejected{Reason: err.Error()}
	}
	sum, err := editChecksum(c.BaseRevision, next)
	if err != nil {
		return Rejected{Reason: err.Error()}
	}
	if first, ok := r.Edits.get(c.EditID); ok {
		if !slices.Equal(first.Sum, sum) {
			return Rejected{Reason: fmt.Sprintf("edit ID %q was used by another edit", c.EditID)}
		}
		return ConfigResult{Accepted: true, Revision: first.Revision, Config: c.Config}
	}
	if c.BaseRevision != r.Current {
		return ConfigResult{Revision: r.Current, Config: r.Config}
	}
	undo, err := r.undo(next)
	if err != nil {
		return Rejected{Reason: err.Error()}
	}
	r.accept(at, c, undo, sum)
	return ConfigResult{Accepted: true, Revision: r.Current, Config: r.Config}
}

func (r *revisions) accept(at time.Time, c ApplyConfig, undo, sum []byte) {
	r.Current++
	r.Config = c.Config
	r.changes = nil
	r.History = append(r.History, historyEntry{
		Revision: Revision{Number: r.Current, EditID: c.EditID, Author: c.Author, At: at},
		Undo:     undo,
	})
	if len(r.History) > historyLength {
		r.History = slices.Clone(r.History[len(r.History)-historyLength:])
	}
	r.Edits.put(at, c.EditID, acceptedEdit{Revision: r.Current, Sum: sum})
	if oldest, ok := r.Edits.oldest(); ok && r.Edits.size() > maxRememberedEdits {
		r.Edits.remove(oldest.Key)
	}
}

// undo returns the patch from next to the current configuration.
func (r *revisions) undo(next *shdocument.Value) ([]byte, error) {
	current, err := shdocument.Encode(r.Config)
	if err != nil {
		return nil, err
	}
	return encodePatch(next, current)
}

// encodePatch returns the patch from one configuration to another. A nil list is
// null in the JSON form of a configuration, and an absent member decodes to a
// nil list too, so the patch may drop null members.
func encodePatch(from, to *shdocument.Value) ([]byte, error) {
	patch, err := shdocument.CreatePatchIgnoringNulls(from, to)
	if err != nil {
		return nil, err
	}
	return json.Marshal(patch)
}

// editChecksum returns a checksum of the base revision and content of an edit.
func editChecksum(base uint64, doc *shdocument.Value) ([]byte, error) {
	data, err := json.Marshal(struct {
		Base     uint64
		Document *shdocument.Value
	}{base, doc})
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	return sum[:16], nil
}

// since returns the change from a revision to the current one. It reports
// false if the revision is the current one or later.
func (r *revisions) since(revision uint64) (Change, bool) {
	if revision >= r.Current {
		return Change{}, false
	}
	if c, ok := r.changes[revision]; ok {
		return c, true
	}
	c := Change{From: revision, To: r.Current}
	if patch := r.patchSince(revision); patch != nil {
		c.Patch = patch
	} else {
		whole := r.Config
		c.Config = &whole
	}
	if r.changes == nil {
		r.changes = map[uint64]Change{}
	}
	r.changes[revision] = c
	return c, true
}

// patchSince returns the patch from a revision to the current one. It returns
// nil if the revision is too old, the patch would be larger than the whole
// configuration, or encoding fails.
func (r *revisions) patchSince(revision uint64) []byte {
	if len(r.History) == 0 || revision+1 < r.History[0].Number {
		return nil
	}
	current, err := shdocument.Encode(r.Config)
	if err != nil {
		return nil
	}
	old := current
	for _, e := range slices.Backward(r.History) {
		if e.Number <= revision {
			break
		}
		undo, err := parsePatch(e.Undo)
		if err != nil {
			return nil
		}
		old = shdocument.Merge(old, undo)
	}
	patch, err := encodePatch(old, current)
	if err != nil {
		return nil
	}
	whole, err := json.Marshal(current)
	if err != nil || len(patch) > len(whole) {
		return nil
	}
	return patch
}
