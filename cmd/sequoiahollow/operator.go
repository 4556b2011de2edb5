package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shoperator"
)

// operatorFlags select the operator interface.
type operatorFlags struct {
	Operator  string        `required:"" placeholder:"ADDRESS" env:"SEQUOIAHOLLOW_OPERATOR" help:"IP:port of the operator interface of a VM."`
	TokenFile string        `required:"" placeholder:"FILE" env:"SEQUOIAHOLLOW_TOKEN_FILE" help:"File with the operator token."`
	Timeout   time.Duration `help:"Longest time for the whole command; 30s if left out, 10m for account and report."`
}

// Timeouts of commands without --timeout. The longer one is for account
// commands, which read every record, and for reports.
const (
	defaultTimeout            = 30 * time.Second
	defaultLongRunningTimeout = 10 * time.Minute
)

// client reads the token and returns a client, and a context that ends after
// the timeout.
func (f *operatorFlags) client(e *environment) (*shoperator.Client, context.Context, context.CancelFunc, error) {
	if _, _, err := net.SplitHostPort(f.Operator); err != nil {
		return nil, nil, nil, &exitError{code: exitUsage, err: err}
	}
	token, err := shsettings.ReadToken(f.TokenFile)
	if err != nil {
		return nil, nil, nil, &exitError{code: exitUsage, err: err}
	}
	timeout := f.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(e.ctx, timeout)
	return &shoperator.Client{Address: f.Operator, Token: token}, ctx, cancel, nil
}

// query calls the operator interface and prints the result.
func query[T any](
	e *environment, f *operatorFlags, call func(context.Context, *shoperator.Client) (T, error), text func(T),
) error {
	client, ctx, cancel, err := f.client(e)
	if err != nil {
		return err
	}
	defer cancel()
	result, err := call(ctx, client)
	if err != nil {
		return operatorError(err, false)
	}
	return e.print(result, func() { text(result) })
}

// operatorError adds the exit code. If a result is missing, the code is
// exitUnknown for a change, which may have been made, and exitFailure for a read.
func operatorError(err error, change bool) error {
	failure, ok := errors.AsType[*shoperator.Error](err)
	if !ok {
		return err
	}
	switch failure.Kind {
	case shoperator.KindConflict:
		return &exitError{code: exitConflict, err: err}
	case shoperator.KindUnavailable:
		return &exitError{code: exitNotRun, err: err}
	case shoperator.KindUnknown, shoperator.KindInternal:
		if change {
			return &exitError{code: exitUnknown, err: err}
		}
		return &exitError{code: exitFailure, err: err}
	default:
		return &exitError{code: exitUsage, err: err}
	}
}

// statusCommand lists the daemons.
type statusCommand struct {
	operatorFlags
}

// Run implements the command.
func (c *statusCommand) Run(e *environment) error {
	return query(e, &c.operatorFlags, func(ctx context.Context, client *shoperator.Client) (shoperator.Status, error) {
		return client.Status(ctx)
	}, e.printStatus)
}

func (e *environment) printStatus(s shoperator.Status) {
	e.printf("revision %d\n", s.Revision)
	if !s.Confirmed {
		e.printf("not confirmed by a quorum; this is the latest status known to the VM\n")
	}
	behind := 0
	for _, d := range s.Daemons {
		if d.Revision != s.Revision || d.Missing {
			behind++
		}
		e.printf("%-20s %-16s %-16s revision %-6d %-24s %v\n",
			d.VM, d.Region, d.FailureDomain, d.Revision, daemonState(d), d.Roles)
	}
	e.printf("%d of %s without revision %d\n", behind, count(len(s.Daemons), "daemon"), s.Revision)
}

func daemonState(d shoperator.Daemon) string {
	state := "running"
	switch {
	case d.Missing:
		state = "missing"
	case d.Leaving:
		state = "leaving"
	case d.Draining:
		state = "draining"
	case d.Leader:
		state = "leader"
	}
	if d.AgeMS < 0 {
		return state + ", no heartbeat received"
	}
	return fmt.Sprintf("%s, %v ago", state, time.Duration(d.AgeMS)*time.Millisecond)
}

// targetFlags select what to drain.
type targetFlags struct {
	operatorFlags
	VM     shmodel.VM     `name:"vm" required:"" xor:"target" help:"VM to drain."`
	Region shmodel.Region `required:"" xor:"target" help:"Region to drain."`
}

func (f *targetFlags) target() shoperator.Target {
	return shoperator.Target{VM: f.VM, Region: f.Region}
}

type (
	drainCommand   struct{ targetFlags }
	undrainCommand struct{ targetFlags }
)

// Run implements the command.
func (c *drainCommand) Run(e *environment) error {
	return c.changeDrain(e, "draining", (*shoperator.Client).Drain)
}

// Run implements the command.
func (c *undrainCommand) Run(e *environment) error {
	return c.changeDrain(e, "in service", (*shoperator.Client).Undrain)
}

// drainCall is a method of the client that starts or ends a drain.
type drainCall func(*shoperator.Client, context.Context, shoperator.Target) (shcontrol.DrainResult, error)

func (f *targetFlags) changeDrain(e *environment, done string, call drainCall) error {
	client, ctx, cancel, err := f.client(e)
	if err != nil {
		return err
	}
	defer cancel()
	result, err := call(client, ctx, f.target())
	if err != nil {
		return operatorError(err, true)
	}
	return e.print(result, func() { e.printf("%s%s: %s\n", f.VM, f.Region, done) })
}
