package shdocument

import (
	"encoding/json"
	"errors"
	"slices"
)

// Merge applies a JSON merge patch and returns the result. Objects merge key
// by key, null removes a key, and any other value replaces the earlier one.
// Neither argument is changed; the result shares values with both.
func Merge(target, patch *Value) *Value {
	if !patch.IsObject() {
		return patch
	}
	merged := NewObject()
	merged.File, merged.Line = patch.File, patch.Line
	if target != nil && target.IsObject() {
		merged.File, merged.Line = target.File, target.Line
		for key, member := range target.Members {
			merged.Members[key] = member
		}
	}
	for key, member := range patch.Members {
		if member.IsNull() {
			delete(merged.Members, key)
			continue
		}
		merged.Members[key] = Merge(merged.Members[key], member)
	}
	return merged
}

var errNotObjects = errors.New("a merge patch needs two objects")

// CreatePatch returns the merge patch that turns from into to. Both must be
// objects, and no member in to may be null, since a merge patch cannot set a
// member to null.
func CreatePatch(from, to *Value) (*Value, error) {
	if !from.IsObject() || !to.IsObject() {
		return nil, errNotObjects
	}
	if hasNullMember(to) {
		return nil, errors.New("a merge patch cannot set a member to null")
	}
	return createPatch(from, to), nil
}

// CreatePatchIgnoringNulls is CreatePatch for documents with null members, such
// as the JSON form of a nil slice. A null member in to counts as absent: the
// merge of the patch into from is to without its null members. It fails if an
// argument is not an object.
func CreatePatchIgnoringNulls(from, to *Value) (*Value, error) {
	if !from.IsObject() || !to.IsObject() {
		return nil, errNotObjects
	}
	return createPatch(from, to), nil
}

// createPatch copies null members of to into the patch, where they mean
// removals.
func createPatch(from, to *Value) *Value {
	patch := NewObject()
	for key := range from.Members {
		if _, ok := to.Members[key]; !ok {
			patch.Members[key] = &Value{}
		}
	}
	for key, after := range to.Members {
		before, ok := from.Members[key]
		switch {
		case !ok:
			patch.Members[key] = after
		case Equal(before, after):
		case before.IsObject() && after.IsObject():
			patch.Members[key] = createPatch(before, after)
		default:
			patch.Members[key] = after
		}
	}
	return patch
}

// hasNullMember reports whether an object has a null member at any depth. Lists
// are not searched: a merge patch replaces a list as a whole and so keeps its
// nulls.
func hasNullMember(v *Value) bool {
	for _, member := range v.Members {
		if member.IsNull() || hasNullMember(member) {
			return true
		}
	}
	return false
}

// Equal reports whether two values have the same content. Numbers are compared
// as text.
func Equal(a, b *Value) bool {
	if a.kind != b.kind || a.Scalar != b.Scalar || len(a.Members) != len(b.Members) {
		return false
	}
	for key, member := range a.Members {
		other, ok := b.Members[key]
		if !ok || !Equal(member, other) {
			return false
		}
	}
	return slices.EqualFunc(a.Elements, b.Elements, Equal)
}

// Change is one difference between two documents. Old is nil for an addition
// and New is nil for a removal.
type Change struct {
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// Diff lists the differences between two documents, with the keys of each object
// in ascending order. Objects are compared key by key; a list is compared as one
// value, since a merge replaces it as a whole. An added or removed object is one
// change.
func Diff(from, to *Value) ([]Change, error) {
	return diff(nil, "", from, to)
}

func diff(changes []Change, path string, from, to *Value) ([]Change, error) {
	if from != nil && to != nil {
		if Equal(from, to) {
			return changes, nil
		}
		if from.IsObject() && to.IsObject() {
			return diffMembers(changes, path, from, to)
		}
	}
	before, err := encodeRaw(from)
	if err != nil {
		return nil, err
	}
	after, err := encodeRaw(to)
	if err != nil {
		return nil, err
	}
	return append(changes, Change{Path: path, Old: before, New: after}), nil
}

func diffMembers(changes []Change, path string, from, to *Value) ([]Change, error) {
	keys := append(from.Keys(), to.Keys()...)
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		var err error
		changes, err = diff(changes, Join(path, key), from.Members[key], to.Members[key])
		if err != nil {
			return nil, err
		}
	}
	return changes, nil
}

func encodeRaw(v *Value) (json.RawMessage, error) {
	if v == nil {
		return nil, nil
	}
	return json.Marshal(v)
}
