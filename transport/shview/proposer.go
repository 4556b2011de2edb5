package shview

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/transport/shpeer"
)

const (
	// callTimeout bounds one call to a control VM. It leaves room for a commit
	// over links of 35 ms one way and for a slow sync.
	callTimeout = time.Second
	// retryPause is the pause after all control VMs were tried.
	retryPause = 50 * time.Millisecond
)

// Proposer sends commands and reads to the leader among the control VMs. Every
// command may be applied twice when an answer is lost, so each is idempotent or
// harmless when repeated.
type Proposer struct {
	Client *shpeer.Client
	// Addresses are the peer addresses of the control VMs, the nearest first.
	Addresses []string

	mu     sync.Mutex
	leader string
}

// Propose returns the result of a command. It tries until the context ends.
func (p *Proposer) Propose(ctx context.Context, c shcontrol.Command) (shcontrol.Result, error) {
	data, err := shcontrol.EncodeCommand(c)
	if err != nil {
		return nil, &Error{Op: "propose", Kind: Invalid, Err: err}
	}
	response, err := leaderCall[shwire.ProposeResponse](ctx, p, shwire.MethodPropose, shwire.ProposeRequest{Command: data})
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
	return leaderCall[shwire.ReadResponse](ctx, p, shwire.MethodRead, r)
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

// leaderCall calls the leader, found by trying the control VMs in turn.
func leaderCall[R any](ctx context.Context, p *Proposer, method string, request any) (R, error) {
	var none R
	var last error
	for try := 0; ; try++ {
		address := p.target(try)
		if address == "" {
			return none, &Error{Op: method, Kind: Unavailable, Err: errors.New("no control VM in the settings")}
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := shpeer.Call[R](callCtx, p.Client, address, method, request)
		cancel()
		if err == nil {
			p.setLeader(address)
			return response, nil
		}
		last = err
		p.learn(address, err)
		if shpeer.KindOf(err) == shpeer.KindInvalid {
			return none, &Error{Op: method, Kind: Invalid, Err: err}
		}
		if try%(len(p.Addresses)+1) == len(p.Addresses) {
			sleep(ctx, retryPause)
		}
		if ctx.Err() != nil {
			return none, &Error{Op: method, Kind: Unavailable, Err: last}
		}
	}
}

// target returns the known leader, or a control VM by the number of tries.
func (p *Proposer) target(try int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leader != "" {
		return p.leader
	}
	if len(p.Addresses) == 0 {
		return ""
	}
	return p.Addresses[try%len(p.Addresses)]
}

func (p *Proposer) setLeader(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = address
}

// learn takes the leader from a refusal, or forgets a leader that failed.
func (p *Proposer) learn(tried string, err error) {
	var hint shwire.LeaderHint
	leader := ""
	if e, ok := errors.AsType[*shpeer.Error](err); ok && len(e.Data) > 0 && json.Unmarshal(e.Data, &hint) == nil {
		leader = hint.Address
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if leader != "" && leader != tried {
		p.leader = leader
		return
	}
	if p.leader == tried {
		p.leader = ""
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
