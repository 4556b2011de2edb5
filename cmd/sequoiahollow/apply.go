package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os/user"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/transport/shoperator"
)

// diffCommand compares a folder with the current configuration.
type diffCommand struct {
	operatorFlags
	Dir string `arg:"" help:"Configuration folder."`
}

// Run implements the command.
func (c *diffCommand) Run(e *environment) error {
	folder, err := shconfig.Load(c.Dir)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	return query(e, &c.operatorFlags, func(ctx context.Context, client *shoperator.Client) (shoperator.DiffResult, error) {
		return client.Diff(ctx, folder.Config)
	}, func(r shoperator.DiffResult) {
		e.printf("%s to revision %d\n", count(len(r.Changes), "change"), r.Revision)
		e.printChanges(r.Changes)
	})
}

// applyCommand makes a folder the configuration of the deployment.
type applyCommand struct {
	operatorFlags
	Dir    string  `arg:"" help:"Configuration folder."`
	Base   *uint64 `placeholder:"REVISION" help:"Revision that the folder is based on; the current one if left out."`
	EditID string  `name:"edit-id" placeholder:"ID" help:"Edit ID to repeat an apply whose outcome is unknown, together with --base."`
	Author string  `help:"Author of the edit; the user name if left out."`

	RetryPause time.Duration `default:"1s" help:"Pause before an edit whose result is not known is sent again."`
}

// applyReport is the JSON form of the result. Changes is relative to the base
// after an accepted edit, and to the current revision after a conflict.
type applyReport struct {
	Accepted     bool              `json:"accepted"`
	EditID       string            `json:"editId"`
	BaseRevision uint64            `json:"baseRevision"`
	Revision     uint64            `json:"revision"`
	Changes      []shconfig.Change `json:"changes"`
}

// Run implements the command.
func (c *applyCommand) Run(e *environment) error {
	if c.EditID != "" && c.Base == nil {
		return &exitError{code: exitUsage, err: errors.New("--edit-id needs --base: a repeated edit must have the same base revision")}
	}
	folder, err := shconfig.Load(c.Dir)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	client, ctx, cancel, err := c.client(e)
	if err != nil {
		return err
	}
	defer cancel()
	client.RetryPause = c.RetryPause
	edit := shcontrol.ApplyConfig{EditID: c.EditID, Author: c.author(), Config: folder.Config}
	if edit.EditID == "" {
		edit.EditID = rand.Text()
	}
	current, err := client.Config(ctx)
	if err != nil && c.Base == nil {
		return operatorError(err, false)
	}
	edit.BaseRevision = current.Revision
	if c.Base != nil {
		edit.BaseRevision = *c.Base
	}
	result, err := client.Apply(ctx, edit)
	if err != nil {
		return e.applyFailed(edit, err)
	}
	return e.printApplied(edit, current, result)
}

func (c *applyCommand) author() string {
	if c.Author != "" {
		return c.Author
	}
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// printApplied prints an accepted edit. The changes are known only if the edit is
// based on the revision that was read before it was sent.
func (e *environment) printApplied(edit shcontrol.ApplyConfig, before shoperator.Current, result shcontrol.ConfigResult) error {
	report := applyReport{
		Accepted: true, EditID: edit.EditID, BaseRevision: edit.BaseRevision, Revision: result.Revision,
		Changes: []shconfig.Change{},
	}
	if before.Revision == edit.BaseRevision {
		changes, err := shconfig.Diff(before.Config, edit.Config)
		if err != nil {
			return err
		}
		report.Changes = append(report.Changes, changes...)
	}
	return e.print(report, func() {
		e.printf("accepted: revision %d\n", result.Revision)
		e.printChanges(report.Changes)
	})
}

// applyFailed returns the error of a failed edit with its exit code. It prints a
// conflict with the current revision. If the outcome is unknown, the error says
// how to repeat the edit.
func (e *environment) applyFailed(edit shcontrol.ApplyConfig, err error) error {
	failure := operatorError(err, true)
	exit, ok := errors.AsType[*exitError](failure)
	operator, isOperator := errors.AsType[*shoperator.Error](err)
	if !ok || !isOperator {
		return failure
	}
	if exit.code == exitUnknown {
		exit.err = fmt.Errorf("%w\nrepeat with --edit-id %s --base %d", exit.err, edit.EditID, edit.BaseRevision)
	}
	if exit.code != exitConflict || operator.Problem == nil || operator.Problem.Current == nil {
		return exit
	}
	report := applyReport{
		EditID: edit.EditID, BaseRevision: edit.BaseRevision,
		Revision: operator.Problem.Current.Revision, Changes: operator.Problem.Changes,
	}
	exit.printed = true
	if err := e.print(report, func() {
		e.printf("conflict: the folder is based on revision %d, the current revision is %d\n", edit.BaseRevision, report.Revision)
		e.printf("the folder would change the current revision as follows:\n")
		e.printChanges(report.Changes)
	}); err != nil {
		return err
	}
	return exit
}

// showCommand prints the current configuration.
type showCommand struct {
	operatorFlags
}

// Run implements the command.
func (c *showCommand) Run(e *environment) error {
	return query(e, &c.operatorFlags, func(ctx context.Context, client *shoperator.Client) (shoperator.Current, error) {
		return client.Config(ctx)
	}, func(current shoperator.Current) {
		data, err := json.MarshalIndent(current.Config, "", "  ")
		if err != nil {
			data = []byte(err.Error())
		}
		e.printf("revision %d\n%s\n", current.Revision, data)
	})
}

// historyCommand lists accepted edits.
type historyCommand struct {
	operatorFlags
	Limit int `default:"20" help:"Largest number of edits."`
}

// Run implements the command.
func (c *historyCommand) Run(e *environment) error {
	return query(e, &c.operatorFlags, func(ctx context.Context, client *shoperator.Client) ([]shoperator.Edit, error) {
		return client.History(ctx, c.Limit)
	}, func(edits []shoperator.Edit) {
		for _, edit := range edits {
			e.printf("revision %d  %s  %s  edit %s\n",
				edit.Revision, edit.At.UTC().Format(time.RFC3339), edit.Author, edit.EditID)
			e.printChanges(edit.Changes)
		}
	})
}

// printChanges prints one change a line: + added, - removed, ~ replaced.
func (e *environment) printChanges(changes []shconfig.Change) {
	for _, change := range changes {
		switch {
		case change.Old == nil:
			e.printf("  + %s: %s\n", change.Path, change.New)
		case change.New == nil:
			e.printf("  - %s: %s\n", change.Path, change.Old)
		default:
			e.printf("  ~ %s: %s -> %s\n", change.Path, change.Old, change.New)
		}
	}
}
