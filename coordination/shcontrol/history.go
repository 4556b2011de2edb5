package shcontrol

import (
	"slices"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shdocument"
)

// Edit is an accepted edit with its changes to the previous revision.
type Edit struct {
	Revision
	Changes []shdocument.Change `json:"changes"`
}

// Edits returns up to limit of the last accepted edits, the newest first.
func (s *State) Edits(limit int) ([]Edit, error) {
	edits := make([]Edit, 0, min(limit, len(s.revisions.History)))
	after := s.revisions.Config
	for _, e := range slices.Backward(s.revisions.History) {
		if len(edits) == limit {
			break
		}
		before, err := applyPatch(after, e.Undo)
		if err != nil {
			return nil, &Error{Op: "edits", Kind: Malformed, Err: err}
		}
		changes, err := shconfig.Diff(before, after)
		if err != nil {
			return nil, &Error{Op: "edits", Kind: Malformed, Err: err}
		}
		edits = append(edits, Edit{Revision: e.Revision, Changes: changes})
		after = before
	}
	return edits, nil
}
