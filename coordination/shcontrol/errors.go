package shcontrol

import "fmt"

// Kind is the kind of an Error.
type Kind string

// Kinds of errors.
const (
	// UnknownType says that an encoded value names a type that is not known.
	UnknownType Kind = "unknown-type"
	// Malformed says that data cannot be decoded.
	Malformed Kind = "malformed"
	// Unencodable says that a value cannot be encoded.
	Unencodable Kind = "unencodable"
)

// Error is the error of every function of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("shcontrol: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
