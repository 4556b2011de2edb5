package shcontrol_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
)

// Guards against a replica that skips unknown types, unknown fields or trailing
// data and diverges from the others.
func TestDecodeIsStrict(t *testing.T) {
	for name, c := range map[string]struct {
		data string
		kind shcontrol.Kind
	}{
		"unknown type":  {`{"type":"Reboot","body":{}}`, shcontrol.UnknownType},
		"result type":   {`{"type":"GrantResult","body":{}}`, shcontrol.UnknownType},
		"unknown field": {`{"type":"ExpireGrant","body":{"id":1,"x":2}}`, shcontrol.Malformed},
		"no body":       {`{"type":"ExpireGrant"}`, shcontrol.Malformed},
		"trailing data": {`{"type":"ExpireGrant","body":{"id":1}} {}`, shcontrol.Malformed},
		"not JSON":      {`ExpireGrant`, shcontrol.Malformed},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := shcontrol.DecodeCommand([]byte(c.data))
			var e *shcontrol.Error
			assert.Assert(t, errors.As(err, &e))
			assert.Equal(t, e.Kind, c.kind)
		})
	}
}
