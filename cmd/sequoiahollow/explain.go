package main

import (
	"errors"
	"io"
	"os"

	"sequoiahollow/state/shexplain"
)

// explainCommand prints what the logs say about one request.
type explainCommand struct {
	ID    string   `arg:"" help:"ID of the request, as the caller sent it."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Logs of the processes; standard input if there are none."`
}

// Run implements the command.
func (c *explainCommand) Run(e *environment) (err error) {
	logs := []io.Reader{e.in}
	if len(c.Files) > 0 {
		logs = nil
	}
	for _, name := range c.Files {
		f, openErr := os.Open(name)
		if openErr != nil {
			return openErr
		}
		defer func() { err = errors.Join(err, f.Close()) }()
		logs = append(logs, f)
	}
	explanation, err := shexplain.Read(c.ID, logs...)
	if err != nil {
		return err
	}
	var writeErr error
	printErr := e.print(explanation, func() { writeErr = explanation.Write(e.out) })
	return errors.Join(printErr, writeErr)
}
