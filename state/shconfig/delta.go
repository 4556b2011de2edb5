package shconfig

import (
	"encoding/json"

	"sequoiahollow/state/shdocument"
)

// Change is one difference between two configurations.
type Change = shdocument.Change

// Diff lists the differences between two configurations in a stable order,
// with JSON pointers as paths. A list is compared as one value. The error says
// that a configuration cannot be encoded as JSON.
func Diff(from, to Config) ([]Change, error) {
	before, after, err := encodeBoth(from, to)
	if err != nil {
		return nil, err
	}
	return shdocument.Diff(before, after)
}

// Delta returns the JSON merge patch (RFC 7396) that turns from into to. It
// fails for a configuration with a nil list of failure domains: a merge patch
// cannot set a member to null.
func Delta(from, to Config) (json.RawMessage, error) {
	before, after, err := encodeBoth(from, to)
	if err != nil {
		return nil, err
	}
	patch, err := shdocument.CreatePatch(before, after)
	if err != nil {
		return nil, err
	}
	return json.Marshal(patch)
}

// ApplyDelta applies a JSON merge patch to a configuration. The result is
// validated, but a delta of another base may also result in a valid
// configuration, so the caller must check the base revision.
func ApplyDelta(from Config, delta []byte) (Config, error) {
	base, err := shdocument.Encode(from)
	if err != nil {
		return Config{}, err
	}
	patch, problems := shdocument.Parse("delta", delta)
	if len(problems) > 0 {
		return Config{}, &Error{Op: "apply delta", Kind: Invalid, Err: problems}
	}
	merged, err := json.Marshal(shdocument.Merge(base, patch))
	if err != nil {
		return Config{}, err
	}
	return Parse("delta", merged)
}

func encodeBoth(from, to Config) (before, after *shdocument.Value, err error) {
	before, err = shdocument.Encode(from)
	if err != nil {
		return nil, nil, err
	}
	after, err = shdocument.Encode(to)
	return before, after, err
}
