package shoperator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shburn"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shrecord"
)

// maxAnswerBytes bounds an answer other than an export. The largest one is a
// history of MaxHistory edits with many changes each.
const maxAnswerBytes = 64 << 20

// applyAttempts bounds how often Apply sends an edit whose result is not known.
const applyAttempts = 4

// DefaultRetryPause is the pause between the attempts of Apply. A leader is
// elected in about one second.
const DefaultRetryPause = time.Second

// Client calls a Server. Errors are *Error. Address is IP:port.
type Client struct {
	Address string
	Token   string
	// HTTP is the client to use; nil uses one without a proxy.
	HTTP *http.Client
	// RetryPause is the pause between attempts of Apply; 0 selects
	// DefaultRetryPause.
	RetryPause time.Duration
}

// defaultHTTP ignores the proxy settings of the environment: an operator address
// is an IP address that is reached directly, and the token must not pass through
// a proxy.
var defaultHTTP = &http.Client{
	Transport:     &http.Transport{DialContext: (&net.Dialer{Timeout: 3 * time.Second}).DialContext},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Config returns the current configuration.
func (c *Client) Config(ctx context.Context) (Current, error) {
	return call[Current](ctx, c, "GET", "/v1/config", nil)
}

// Apply sends an edit. While the result of the edit is not known, Apply retries
// with the same edit ID, until ctx ends or four attempts were made. A rejected
// edit has an error of KindConflict with a Problem.
func (c *Client) Apply(ctx context.Context, edit shcontrol.ApplyConfig) (shcontrol.ConfigResult, error) {
	unknown, wait := false, cmp.Or(c.RetryPause, DefaultRetryPause)
	for attempt := 1; ; attempt++ {
		result, err := call[shcontrol.ConfigResult](ctx, c, "POST", "/v1/config", edit)
		failure, failed := errors.AsType[*Error](err)
		if !failed {
			return result, nil
		}
		unknown = unknown || failure.Kind == KindUnknown || failure.Kind == KindInternal
		retry := failure.Kind == KindUnknown || failure.Kind == KindInternal || failure.Kind == KindUnavailable
		if !retry || attempt == applyAttempts || !pause(ctx, wait) {
			return result, finalError(failure, unknown)
		}
	}
}

// finalError returns the failure of the last attempt. If the result of an earlier
// attempt is unknown, that attempt may have been accepted even if the last one
// was not run.
func finalError(failure *Error, unknown bool) *Error {
	if unknown && failure.Kind == KindUnavailable {
		return &Error{Op: failure.Op, Kind: KindUnknown, Err: failure.Err, Problem: failure.Problem}
	}
	return failure
}

// pause waits for d and returns true, or false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Check checks a configuration against the current one.
func (c *Client) Check(ctx context.Context, config shconfig.Config) (CheckResult, error) {
	return call[CheckResult](ctx, c, "POST", "/v1/config/check", config)
}

// Diff compares a configuration with the current one.
func (c *Client) Diff(ctx context.Context, config shconfig.Config) (DiffResult, error) {
	return call[DiffResult](ctx, c, "POST", "/v1/config/diff", config)
}

// History returns at most limit edits, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]Edit, error) {
	return call[[]Edit](ctx, c, "GET", "/v1/config/history?limit="+strconv.Itoa(limit), nil)
}

// Status returns the state of the deployment.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, "GET", "/v1/status", nil)
}

// Drain starts the drain of a VM or region.
func (c *Client) Drain(ctx context.Context, target Target) (shcontrol.DrainResult, error) {
	return call[shcontrol.DrainResult](ctx, c, "POST", "/v1/drain", target)
}

// Undrain ends the drain of a VM or region.
func (c *Client) Undrain(ctx context.Context, target Target) (shcontrol.DrainResult, error) {
	return call[shcontrol.DrainResult](ctx, c, "POST", "/v1/undrain", target)
}

// AccountVerify checks the account.
func (c *Client) AccountVerify(ctx context.Context) (Verification, error) {
	return call[Verification](ctx, c, "GET", "/v1/account/verify", nil)
}

// BurnReport compares the services with their service levels.
func (c *Client) BurnReport(ctx context.Context) (shburn.Report, error) {
	return call[shburn.Report](ctx, c, "GET", "/v1/report/burn", nil)
}

// AccountExport copies the selected lines of the account to w. If the export is
// interrupted, it returns an error after a part of the lines was written.
func (c *Client) AccountExport(ctx context.Context, f shrecord.Filter, w io.Writer) error {
	response, err := c.send(ctx, "GET", "/v1/account/export"+queryOf(f), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(w, response.Body); err != nil {
		return &Error{Op: "export account", Kind: KindInternal, Err: fmt.Errorf("export interrupted: %w", err)}
	}
	return nil
}

// call sends a request and decodes the answer.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var decoded T
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return decoded, err
	}
	defer response.Body.Close()
	data, err := readAnswer(response)
	if err == nil {
		err = json.Unmarshal(data, &decoded)
	}
	if err != nil {
		return decoded, &Error{Op: method + " " + path, Kind: KindUnknown, Err: err}
	}
	return decoded, nil
}

// send returns an answer of status 200, whose body the caller must close.
func (c *Client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	op := method + " " + path
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return nil, &Error{Op: op, Kind: KindMalformed, Err: err}
	}
	client := c.HTTP
	if client == nil {
		client = defaultHTTP
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, &Error{Op: op, Kind: transportKind(err), Err: err}
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, answerError(op, response)
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	if body != nil {
		request.Header.Set("Content-Type", mediaTypeJSON)
	}
	return request, nil
}

// transportKind returns KindUnavailable if the connection was never established,
// so that nothing was sent, and KindUnknown if it failed later.
func transportKind(err error) Kind {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return KindUnavailable
	}
	return KindUnknown
}

// answerError returns the error for an answer whose status is not 200.
func answerError(op string, response *http.Response) *Error {
	failure := &Error{Op: op, Kind: KindInternal, Err: errors.New(response.Status)}
	data, err := readAnswer(response)
	if err != nil || response.Header.Get("Content-Type") != shwire.ContentTypeProblem {
		return failure
	}
	var p Problem
	if err := json.Unmarshal(data, &p); err != nil {
		return failure
	}
	failure.Problem = &p
	if _, ok := statuses[Kind(p.Reason)]; ok {
		failure.Kind = Kind(p.Reason)
	}
	failure.Err = errors.New(p.Detail)
	if len(p.Problems) > 0 {
		failure.Err = p.Problems
	}
	return failure
}

func readAnswer(response *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxAnswerBytes {
		return nil, fmt.Errorf("the answer is larger than %d bytes", maxAnswerBytes)
	}
	return data, nil
}
