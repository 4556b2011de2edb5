// Package shpeer is the jsonrpc2 transport between processes of the system.
//
// A Server answers calls and notifications on accepted TCP connections. A
// Client keeps a few connections per address and shares them between calls.
// The client pings every connection, and both ends close a connection on which
// nothing was received for Config.SilenceTimeout. The next call opens a new
// connection; calls in progress on the silent one end by their own deadlines.
//
// Calls run concurrently and in no particular order. Notifications sent through
// one Client to one address are handled one at a time in the order of sending;
// their handlers must not block.
//
// Anyone may connect to a Server. With a Budget, what it holds for connections and
// their messages is bounded: a message takes memory while it arrives, is unpacked and
// decoded, until its call has ended. A connection without room is closed.
//
// An Error that a handler returns reaches the caller with its kind and data.
// Errors of other types do so if they implement WireError.
package shpeer

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"time"

	"sequoiahollow/coordination/shmemory"
)

// Defaults of Config. DefaultMaxMessageBytes is in bytes of JSON.
const (
	DefaultMaxMessageBytes = 16 << 20
	DefaultMaxCalls        = 1024
	DefaultConnections     = 2
	DefaultPingInterval    = 500 * time.Millisecond
	// DefaultSilenceTimeout is three ping intervals, because a ping may be late on
	// a link that is full after a shift of traffic.
	DefaultSilenceTimeout = 1500 * time.Millisecond
	DefaultCallTimeout    = 5 * time.Second
)

// Config configures a Server or a Client. Zero fields take the defaults.
type Config struct {
	// Self is the peer address of this process, IP:port. A client sends it with its
	// pings, and the server counts the traffic of the connection under it.
	Self string
	// MaxMessageBytes bounds one message, in bytes of JSON.
	MaxMessageBytes int
	// MaxCalls bounds the calls in progress, per Server and per Client.
	MaxCalls int
	// Connections is the number of connections per address.
	Connections int
	// PingInterval is the time between pings on a connection.
	PingInterval time.Duration
	// SilenceTimeout closes a connection on which a read or write makes no progress
	// for that long. It also bounds a dial.
	SilenceTimeout time.Duration
	// CallTimeout applies to calls whose context has no deadline.
	CallTimeout time.Duration
	// Budget bounds what a Server holds for accepted connections and their messages.
	// Nil means no bound.
	Budget *shmemory.Budget
	// Traffic counts the bytes sent and received. A Server and a Client may share
	// one.
	Traffic *Traffic
	Logger  *slog.Logger
}

func (c Config) withDefaults() Config {
	defaultTo(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	defaultTo(&c.MaxCalls, DefaultMaxCalls)
	defaultTo(&c.Connections, DefaultConnections)
	defaultTo(&c.PingInterval, DefaultPingInterval)
	defaultTo(&c.SilenceTimeout, DefaultSilenceTimeout)
	defaultTo(&c.CallTimeout, DefaultCallTimeout)
	if c.Budget == nil {
		c.Budget = new(shmemory.Budget)
	}
	if c.Traffic == nil {
		c.Traffic = new(Traffic)
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Kind classifies an Error. Handlers may define further kinds.
type Kind string

// Kinds.
const (
	// KindUnreachable says that no connection was made, so nothing was sent.
	KindUnreachable Kind = "unreachable"
	// KindBusy says that MaxCalls calls were in progress at the client or the
	// server, so the call did not run.
	KindBusy Kind = "busy"
	// KindTooLarge says that a message exceeds MaxMessageBytes. A request that is
	// too large was not sent; a handler whose answer is too large has run.
	KindTooLarge Kind = "too-large"
	// KindTimeout says that the deadline passed; the call may have run.
	KindTimeout Kind = "timeout"
	// KindClosed says that the connection broke; the call may have run.
	KindClosed Kind = "closed"
	// KindMethod says that the peer has no such method, so nothing ran.
	KindMethod Kind = "method"
	// KindInvalid says that a message could not be encoded or decoded.
	KindInvalid Kind = "invalid"
	// KindFailed is the kind of an error of a handler that has no kind.
	KindFailed Kind = "failed"
)

// Error is the error type of this package. Op is the method. Data is JSON in a
// format that depends on Kind, or nil.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	Data json.RawMessage
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// WireError is implemented by errors of other packages that keep their kind and
// data when a handler returns them.
type WireError interface {
	error
	// WireKind returns the kind of the Error that the caller gets.
	WireKind() Kind
	// WireData returns a value that is encoded as JSON, or nil.
	WireData() any
}

// KindOf returns the kind of the first Error in the chain of err, or "".
func KindOf(err error) Kind {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return ""
}

func newError(op string, kind Kind, err error) *Error {
	return &Error{Op: op, Kind: kind, Err: err}
}

// methodPing is the method of pings.
const methodPing = "peer.ping"

type ping struct {
	// Address is the peer address of the sender.
	Address string `json:"address,omitempty"`
}

// meta is the metadata of a request.
type meta struct {
	// TimeoutMS is the time until the caller's deadline, in milliseconds.
	TimeoutMS int64 `json:"timeoutMs"`
}

// wireData is the data of a JSON-RPC error.
type wireData struct {
	Kind Kind            `json:"kind"`
	Data json.RawMessage `json:"data,omitempty"`
}

// discardLogger drops the log lines of jsonrpc2 about connections that end: the
// caller gets an error for every call on such a connection.
var discardLogger = log.New(io.Discard, "", 0)
