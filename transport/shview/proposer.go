package shview

import (
	"context"
	"errors"
	"fmt"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/transport/shleader"
	"sequoiahollow/transport/shpeer"
)

// callTimeout bounds one call to a control VM.
const callTimeout = shleader.DefaultCallTimeout

// Proposer sends commands and reads to the leader of the control VMs. A command
// may be applied twice when an answer is lost, so every command is idempotent
// or harmless when repeated.
type Proposer struct {
	Client *shpeer.Client
	// Addresses are the peer addresses of the control VMs, the nearest first.
	Addresses []string

	finder shleader.Finder
}

// Propose commits a command and returns its result. It retries until the
// context ends.
func (p *Proposer) Propose(ctx context.Context, c shcontrol.Command) (shcontrol.Result, error) {
	data, err := shcontrol.EncodeCommand(c)
	if err != nil {
		return nil, &Error{Op: "propose", Kind: Invalid, Err: err}
	}
	response, err := callLeader[shwire.ProposeResponse](ctx, p, shwire.MethodPropose, shwire.ProposeRequest{Command: data})
	if err != nil {
		return nil, err
	}
	result, err := shcontrol.DecodeResult(response.Result)
	if err != nil {
		return nil, &Error{Op: "propose", Kind: Invalid, Err: err}
	}
	if r, ok := result.(shcontrol.Rejected); ok {
		return nil, &Error{Op: "propose", Kind: Rejected, Err: errors.New(r.Reason)}
	}
	return result, nil
}

// Read returns replicated state that a quorum confirmed after the call began.
func (p *Proposer) Read(ctx context.Context, r shwire.ReadRequest) (shwire.ReadResponse, error) {
	return callLeader[shwire.ReadResponse](ctx, p, shwire.MethodRead, r)
}

// ProposeFor proposes a command whose result has the type R.
func ProposeFor[R shcontrol.Result](ctx context.Context, p *Proposer, c shcontrol.Command) (R, error) {
	var none R
	result, err := p.Propose(ctx, c)
	if err != nil {
		return none, err
	}
	r, ok := result.(R)
	if !ok {
		return none, &Error{Op: "propose", Kind: Invalid, Err: fmt.Errorf("result %T, want %T", result, none)}
	}
	return r, nil
}

// callLeader calls the leader and converts the error to one of this package.
func callLeader[R any](ctx context.Context, p *Proposer, method string, request any) (R, error) {
	addresses := func() []string { return p.Addresses }
	response, err := shleader.Call[R](ctx, &p.finder, p.Client, addresses, method, request)
	if e, ok := errors.AsType[*shleader.Error](err); ok {
		kind := Unavailable
		if e.Kind == shleader.KindInvalid {
			kind = Invalid
		}
		return response, &Error{Op: method, Kind: kind, Err: e.Err}
	}
	return response, nil
}
