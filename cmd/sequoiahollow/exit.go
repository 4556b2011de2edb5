package main

import (
	"encoding/json"
	"errors"
	"fmt"

	"sequoiahollow/state/shdocument"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailure covers every failure without a code of its own.
	exitFailure = 1
	// exitUsage says that the command line, a file or a configuration is not
	// valid. Nothing was changed.
	exitUsage = 2
	// exitConflict says that the base revision of an edit is not the current
	// one. Nothing was changed.
	exitConflict = 3
	// exitNotRun says that the request or change certainly did not run.
	exitNotRun = 4
	// exitUnknown says that the request or change may have run.
	exitUnknown = 5
)

// exitError is an error with an exit code. Printed says that the command has
// printed the error already.
type exitError struct {
	code    int
	err     error
	printed bool
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// errorReport is the JSON form of an error.
type errorReport struct {
	Error    string              `json:"error"`
	ExitCode int                 `json:"exitCode"`
	Problems shdocument.Problems `json:"problems,omitempty"`
}

// finish prints an error and returns the exit code for it.
func (e *environment) finish(err error) int {
	if err == nil {
		return exitOK
	}
	code, printed := exitFailure, false
	if exit, ok := errors.AsType[*exitError](err); ok {
		code, printed = exit.code, exit.printed
	}
	if printed {
		return code
	}
	if !e.json {
		fmt.Fprintln(e.err, "sequoiahollow:", err)
		return code
	}
	report := errorReport{Error: err.Error(), ExitCode: code}
	if problems, ok := errors.AsType[shdocument.Problems](err); ok {
		report.Problems = problems
	}
	if err := json.NewEncoder(e.err).Encode(report); err != nil {
		return exitFailure
	}
	return code
}

// print writes a result: the JSON form of value, or else what text writes.
func (e *environment) print(value any, text func()) error {
	if !e.json {
		text()
		return nil
	}
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printf writes human-readable output.
func (e *environment) printf(format string, args ...any) {
	fmt.Fprintf(e.out, format, args...)
}

// count returns n and the noun, in the plural unless n is 1.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
