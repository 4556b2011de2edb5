package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shanswer"
)

const (
	// answerGrace is how much longer than the timeout the command waits, so that
	// it receives the outcome that the entry VM reports for an expired request.
	answerGrace = 2 * time.Second
	// maxLookupBytes bounds a lookup answer. One with 100 entry VMs needs about
	// 15 KiB.
	maxLookupBytes = 1 << 20
	// maxAnswerBytes bounds the body of an answer, as shcaller does.
	maxAnswerBytes = 64 << 20
)

// callerFlags select the entry VM to ask and the service.
type callerFlags struct {
	Entry   string          `required:"" placeholder:"ADDRESS" env:"SEQUOIAHOLLOW_ENTRY" help:"IP:port of the caller interface of any entry VM."`
	Service shmodel.Service `required:"" help:"Service name."`
	Timeout time.Duration   `default:"10s" help:"Longest time for the whole command."`
}

// lookupCommand prints which entry VMs to use for a service.
type lookupCommand struct {
	callerFlags
}

// Run implements the command.
func (c *lookupCommand) Run(e *environment) error {
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	entries, err := lookup(ctx, c.Entry, c.Service)
	if err != nil {
		return err
	}
	return e.print(entries, func() {
		e.printf("service %s, revision %d, cache for %v\n",
			entries.Service, entries.Revision, time.Duration(entries.CacheForMS)*time.Millisecond)
		for _, entry := range entries.Entries {
			e.printf("%-20s %-16s %-16s %s\n", entry.VM, entry.Region, entry.FailureDomain, entry.Address)
		}
	})
}

// requestCommand sends one request as a caller: a lookup, then the request to
// the first entry VM that accepts a connection.
type requestCommand struct {
	callerFlags
	Method string `default:"GET" help:"HTTP method."`
	Path   string `default:"/" help:"Path with query."`
	Key    string `help:"Idempotency key, needed for once-only operations."`
	Body   string `help:"Body: text, @FILE, or @- for standard input."`
}

// requestReport is the JSON form of an answer. Without an answer Status is 0.
type requestReport struct {
	Entry     string          `json:"entry,omitempty"`
	RequestID string          `json:"requestId,omitempty"`
	Outcome   shmodel.Outcome `json:"outcome"`
	Replayed  bool            `json:"replayed,omitempty"`
	Status    int             `json:"status,omitempty"`
	Reason    string          `json:"reason,omitempty"`
	Body      string          `json:"body,omitempty"`
}

// Run implements the command. The body goes to standard output, the summary to
// standard error.
func (c *requestCommand) Run(e *environment) error {
	body, err := c.body(e.in)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	if !strings.HasPrefix(c.Path, "/") {
		return &exitError{code: exitUsage, err: errors.New("--path must start with a slash")}
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout+answerGrace)
	defer cancel()
	report := c.send(ctx, body)
	if err := e.print(report, func() {
		e.printf("%s", report.Body)
		fmt.Fprintf(e.err, "%s: status %d, request %s, entry %s %s\n",
			report.Outcome, report.Status, report.RequestID, report.Entry, report.Reason)
	}); err != nil {
		return err
	}
	return report.exit()
}

func (c *requestCommand) body(in io.Reader) (string, error) {
	file, ok := strings.CutPrefix(c.Body, "@")
	if !ok {
		return c.Body, nil
	}
	if file == "-" {
		data, err := io.ReadAll(in)
		return string(data), err
	}
	data, err := os.ReadFile(file)
	return string(data), err
}

// exit returns the error with the exit code of the outcome, or nil. An answer
// with an error status is a failure.
func (r requestReport) exit() error {
	code := exitOK
	switch {
	case r.Outcome == shmodel.NotRun:
		code = exitNotRun
	case r.Outcome != shmodel.Answered:
		code = exitUnknown
	case r.Status >= http.StatusBadRequest:
		code = exitFailure
	default:
		return nil
	}
	return &exitError{code: code, err: errors.New(string(r.Outcome)), printed: true}
}

// send looks up the entry VMs of the service and sends the request to the first.
// It tries the next one only if the connection was never established, since
// nothing was sent then.
func (c *requestCommand) send(ctx context.Context, body string) requestReport {
	entries, err := lookup(ctx, c.Entry, c.Service)
	if err != nil {
		return requestReport{Outcome: shmodel.NotRun, Reason: err.Error()}
	}
	report := requestReport{Outcome: shmodel.NotRun, Reason: "no entry VM serves " + string(c.Service)}
	for _, entry := range entries.Entries {
		response, err := c.attempt(ctx, entry.Address, body)
		if err == nil {
			return readReport(entry.Address, response)
		}
		report = requestReport{Entry: entry.Address, Outcome: shmodel.Unknown, Reason: err.Error()}
		if !notConnected(err) {
			return report
		}
		report.Outcome = shmodel.NotRun
	}
	return report
}

func (c *requestCommand) attempt(ctx context.Context, address, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(shwire.HeaderService, string(c.Service))
	request.Header.Set(shwire.HeaderTimeout, strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	if c.Key != "" {
		request.Header.Set(shwire.HeaderKey, c.Key)
	}
	return callerHTTP.Do(request)
}

// callerHTTP uses a new connection for each request, so that net/http never
// sends a request again by itself.
var callerHTTP = &http.Client{
	Transport: &shanswer.Transport{
		Dialer:    net.Dialer{Timeout: 3 * time.Second},
		Transport: http.Transport{DisableKeepAlives: true},
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

func notConnected(err error) bool {
	op, ok := errors.AsType[*net.OpError](err)
	return ok && op.Op == "dial"
}

// readReport reads a whole answer. Without an outcome header, or if the body is
// incomplete, the outcome is unknown.
func readReport(address string, response *http.Response) requestReport {
	defer response.Body.Close()
	report := requestReport{
		Entry:     address,
		RequestID: response.Header.Get(shwire.HeaderRequestID),
		Outcome:   shmodel.Outcome(response.Header.Get(shwire.HeaderOutcome)),
		Replayed:  response.Header.Get(shwire.HeaderReplayed) == "true",
		Status:    response.StatusCode,
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	report.Body = string(body)
	switch {
	case err != nil:
		report.Outcome, report.Reason = shmodel.Unknown, "the answer broke off: "+err.Error()
	case len(body) > maxAnswerBytes:
		report.Outcome, report.Reason = shmodel.Unknown, fmt.Sprintf("the answer is longer than %d bytes", maxAnswerBytes)
	}
	switch report.Outcome {
	case shmodel.Answered, shmodel.NotRun, shmodel.Unknown:
	default:
		report.Outcome, report.Reason = shmodel.Unknown, "the answer has no outcome"
	}
	if !shmodel.IsFinalStatus(report.Status) {
		report.Outcome, report.Reason = shmodel.Unknown, "the status is no answer"
	}
	var p shwire.Problem
	if response.Header.Get("Content-Type") == shwire.ContentTypeProblem && json.Unmarshal(body, &p) == nil {
		report.Reason = p.Reason
	}
	return report
}

// lookup asks an entry VM which entry VMs to use.
func lookup(ctx context.Context, address string, service shmodel.Service) (shwire.Entries, error) {
	var entries shwire.Entries
	target := "http://" + address + shwire.PathEntries + "?service=" + url.QueryEscape(string(service))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return entries, &exitError{code: exitUsage, err: err}
	}
	response, err := callerHTTP.Do(request)
	if err != nil {
		return entries, fmt.Errorf("lookup: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxLookupBytes))
	if err != nil {
		return entries, fmt.Errorf("lookup: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return entries, fmt.Errorf("lookup: %s: %s", response.Status, strings.TrimSpace(string(data)))
	}
	if err := json.Unmarshal(data, &entries); err != nil {
		return entries, fmt.Errorf("lookup: %w", err)
	}
	return entries, nil
}
