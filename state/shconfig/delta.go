package shconfig

import (
	"encoding/json"

	"sequoiahollow/state/shdocument"
)

// Change is one difference between two configurations.
type Change = shdocument.Change

// Diff lists the differences between two configurations in a stable order,
// with JSON pointers as paths. Lists count as one value. The error says that a
// configuration has no JSON form.
func Diff(from, to Config) ([]Change, error) {
	before, after, err := encodeBoth(from, to)
	if err != nil {
		return nil, err
	}
	return shdocument.Diff(before, after)
}

// Delta returns the JSON merge patch (RFC 7396) that turns from into to. A
// configuration with a nil list of failure domains has none and is an error.
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
// validated, so a delta against another base is rejected if it leaves mistakes;
// the caller must check the base revision.
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
