package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"
	"time"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shoperator"
)

// accountFlags select the lines of the account to read.
type accountFlags struct {
	longRunningFlags
	Service shmodel.Service `help:"Requests of one service only."`
	Since   time.Time       `format:"2006-01-02T15:04:05Z07:00" placeholder:"TIME" help:"Requests that ended at this time or later (RFC 3339)."`
	Until   time.Time       `format:"2006-01-02T15:04:05Z07:00" placeholder:"TIME" help:"Requests that ended before this time (RFC 3339)."`
}

func (f *accountFlags) filter() shrecord.Filter {
	return shrecord.Filter{Service: f.Service, Since: f.Since, Until: f.Until}
}

// summaryCommand totals the account by service, operation and outcome.
type summaryCommand struct {
	accountFlags
}

// Run implements the command.
func (c *summaryCommand) Run(e *environment) error {
	return query(e, &c.operatorFlags, func(ctx context.Context, client *shoperator.Client) (shrecord.Summary, error) {
		reader, writer := io.Pipe()
		go func() { _ = writer.CloseWithError(client.AccountExport(ctx, c.filter(), writer)) }()
		defer func() { _ = reader.Close() }()
		return shrecord.Summarize(decodeLines(reader))
	}, e.printSummary)
}

// decodeLines reads an export. An interrupted export ends with an error.
func decodeLines(r io.Reader) iter.Seq2[shrecord.Line, error] {
	return func(yield func(shrecord.Line, error) bool) {
		decoder := json.NewDecoder(r)
		for {
			var line shrecord.Line
			err := decoder.Decode(&line)
			if errors.Is(err, io.EOF) {
				return
			}
			if !yield(line, err) || err != nil {
				return
			}
		}
	}
}

func (e *environment) printSummary(s shrecord.Summary) {
	const format = "%-28s %-12s %-18s %10v %10v %12v %14v %14v\n"
	e.printf(format, "service", "operation", "outcome", "requests", "replayed", "handed over", "request bytes", "answer bytes")
	for _, r := range s.Rows {
		outcome := string(r.Outcome)
		if r.Refused {
			outcome += " (refused)"
		}
		e.printf(format, r.Service, r.Operation, outcome, r.Requests, r.Replayed, r.HandedOver, r.RequestBytes, r.AnswerBytes)
	}
	e.printf("%d request IDs without records, %d lines with problems\n", s.Gaps, s.Problems)
}
