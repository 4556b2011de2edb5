package main

import (
	"context"
	"errors"

	"sequoiahollow/state/shburn"
	"sequoiahollow/transport/shoperator"
)

// longRunningFlags are the operatorFlags of account and report commands, whose
// default timeout is longer.
type longRunningFlags struct {
	operatorFlags
}

// AfterApply is the hook of kong that runs when the flags are set.
func (f *longRunningFlags) AfterApply() error {
	if f.Timeout == 0 {
		f.Timeout = defaultLongRunningTimeout
	}
	return nil
}

// exportCommand prints the account as JSON lines, with or without --json.
type exportCommand struct {
	accountFlags
}

// Run implements the command.
func (c *exportCommand) Run(e *environment) error {
	client, ctx, cancel, err := c.client(e)
	if err != nil {
		return err
	}
	defer cancel()
	if err := client.AccountExport(ctx, c.filter(), e.out); err != nil {
		return operatorError(err, false)
	}
	return nil
}

// verifyCommand checks the account. It fails if the account is not complete.
type verifyCommand struct {
	longRunningFlags
}

// Run implements the command.
func (c *verifyCommand) Run(e *environment) error {
	var incomplete bool
	err := query(e, &c.operatorFlags, func(ctx context.Context, client *shoperator.Client) (shoperator.Verification, error) {
		v, err := client.AccountVerify(ctx)
		incomplete = !v.Complete
		return v, err
	}, e.printVerification)
	if err == nil && incomplete {
		return &exitError{code: exitFailure, err: errors.New("the account is not complete"), printed: true}
	}
	return err
}

func (e *environment) printVerification(v shoperator.Verification) {
	e.printf("requests %d: answered %d, not run %d, unknown %d\n", v.Requests, v.Answered, v.NotRun, v.Unknown)
	for _, gap := range v.Missing {
		e.printf("missing: %v to %v of %s %s\n", gap.First, gap.Last, gap.VM, gap.Reason)
	}
	for _, problem := range v.Problems {
		e.printf("problem: %s\n", problem)
	}
	if v.Complete {
		e.printf("complete: nothing is missing or counted twice\n")
		return
	}
	e.printf("not complete\n")
}

// burnCommand prints how the services compare with their service levels.
type burnCommand struct {
	longRunningFlags
}

// Run implements the command.
func (c *burnCommand) Run(e *environment) error {
	return query(e, &c.operatorFlags, func(ctx context.Context, client *shoperator.Client) (shburn.Report, error) {
		return client.BurnReport(ctx)
	}, func(r shburn.Report) { _ = r.WriteText(e.out) })
}
