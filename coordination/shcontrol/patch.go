package shcontrol

import (
	"bytes"
	"encoding/json"
	"reflect"

	"sequoiahollow/state/shconfig"
)

// object is a decoded JSON object. Numbers are json.Number, so that large
// integers keep their value.
type object = map[string]any

// document returns the JSON object of a configuration. A merge patch removes
// its null members, which leaves the decoded configuration the same.
func document(c shconfig.Config) (object, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	return parseObject(data)
}

func parseObject(data []byte) (object, error) {
	var doc object
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	err := d.Decode(&doc)
	return doc, err
}

// parseConfig reads the configuration of a document.
func parseConfig(doc object) (shconfig.Config, error) {
	var c shconfig.Config
	data, err := json.Marshal(doc)
	if err != nil {
		return c, err
	}
	err = decodeStrict(data, &c)
	return c, err
}

// mergePatch returns target changed by an RFC 7396 merge patch. It does not
// modify target.
func mergePatch(target, patch object) object {
	merged := make(object, len(target)+len(patch))
	for k, v := range target {
		merged[k] = v
	}
	for k, v := range patch {
		if v == nil {
			delete(merged, k)
			continue
		}
		inner, ok := v.(object)
		if !ok {
			merged[k] = v
			continue
		}
		old, _ := merged[k].(object)
		merged[k] = mergePatch(old, inner)
	}
	return merged
}

// diffPatch returns the merge patch that turns from into to.
func diffPatch(from, to object) object {
	patch := object{}
	for k := range from {
		if _, ok := to[k]; !ok {
			patch[k] = nil
		}
	}
	for k, v := range to {
		old, exists := from[k]
		if exists && reflect.DeepEqual(old, v) {
			continue
		}
		oldObject, wasObject := old.(object)
		newObject, isObject := v.(object)
		if wasObject && isObject {
			patch[k] = diffPatch(oldObject, newObject)
			continue
		}
		patch[k] = v
	}
	return patch
}
