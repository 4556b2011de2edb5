package shcontrol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
)

// envelope is the encoded form of a value of a sealed interface.
type envelope struct {
	Type string          `json:"type"`
	Body json.RawMessage `json:"body"`
}

// codec maps the names of the types of a sealed interface I to their decoders.
// An encoded value carries its type name.
type codec[I any] map[string]func([]byte) (I, error)

var commands = codec[Command]{}.
	register(decoderFor[Command, ApplyConfig]).
	register(decoderFor[Command, OpenClaim]).
	register(decoderFor[Command, CloseClaim]).
	register(decoderFor[Command, SettleClaim]).
	register(decoderFor[Command, RequestGrant]).
	register(decoderFor[Command, ExpireGrant]).
	register(decoderFor[Command, ReserveRange]).
	register(decoderFor[Command, ReportCrash]).
	register(decoderFor[Command, OpenSolo]).
	register(decoderFor[Command, CloseSolo]).
	register(decoderFor[Command, SetDrain])

var results = codec[Result]{}.
	register(decoderFor[Result, ConfigResult]).
	register(decoderFor[Result, ClaimResult]).
	register(decoderFor[Result, GrantResult]).
	register(decoderFor[Result, RangeResult]).
	register(decoderFor[Result, SuspectResult]).
	register(decoderFor[Result, DrainResult]).
	register(decoderFor[Result, Rejected])

// register adds the type name and the decoder that e returns.
func (c codec[I]) register(e func() (string, func([]byte) (I, error))) codec[I] {
	name, decode := e()
	c[name] = decode
	return c
}

// decoderFor returns the name and the decoder of the type T of the sealed
// interface I.
func decoderFor[I, T any]() (string, func([]byte) (I, error)) {
	decode := func(data []byte) (I, error) {
		var (
			v    T
			none I
		)
		if err := decodeStrict(data, &v); err != nil {
			return none, err
		}
		return any(v).(I), nil
	}
	return reflect.TypeFor[T]().Name(), decode
}

// EncodeCommand returns the JSON form of a command.
func EncodeCommand(c Command) ([]byte, error) { return commands.encode("encode command", c) }

// DecodeCommand reads the JSON form of a command. Unknown types, unknown
// fields and trailing data are errors, since a replica that skipped them would
// diverge from the others.
func DecodeCommand(data []byte) (Command, error) { return commands.decode("decode command", data) }

// EncodeResult returns the JSON form of a result.
func EncodeResult(r Result) ([]byte, error) { return results.encode("encode result", r) }

// DecodeResult reads the JSON form of a result, as strictly as DecodeCommand.
func DecodeResult(data []byte) (Result, error) { return results.decode("decode result", data) }

func (c codec[I]) encode(op string, v I) ([]byte, error) {
	if reflect.TypeOf(v) == nil {
		return nil, &Error{Op: op, Kind: Unencodable, Err: errors.New("no value")}
	}
	name := reflect.TypeOf(v).Name()
	if c[name] == nil {
		return nil, &Error{Op: op, Kind: UnknownType, Err: fmt.Errorf("%T is not a registered value type", v)}
	}
	body, err := json.Marshal(v)
	if err != nil {
		return nil, &Error{Op: op, Kind: Unencodable, Err: err}
	}
	data, err := json.Marshal(envelope{Type: name, Body: body})
	if err != nil {
		return nil, &Error{Op: op, Kind: Unencodable, Err: err}
	}
	return data, nil
}

func (c codec[I]) decode(op string, data []byte) (I, error) {
	var (
		e    envelope
		none I
	)
	if err := decodeStrict(data, &e); err != nil {
		return none, &Error{Op: op, Kind: Malformed, Err: err}
	}
	decode := c[e.Type]
	if decode == nil {
		return none, &Error{Op: op, Kind: UnknownType, Err: fmt.Errorf("type %q", e.Type)}
	}
	v, err := decode(e.Body)
	if err != nil {
		return none, &Error{Op: op, Kind: Malformed, Err: fmt.Errorf("%s: %w", e.Type, err)}
	}
	return v, nil
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields and
// trailing data.
func decodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the value")
	}
	return nil
}
