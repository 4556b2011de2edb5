package shdaemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shbackend"
	"sequoiahollow/transport/shcaller"
)

// doer sends one request.
type doer interface {
	Do(context.Context, shcaller.Request) (shcaller.Answer, error)
}

// send is one request as its caller saw it.
type send struct {
	request shcaller.Request
	begun   time.Time
	ended   time.Time
	answer  shcaller.Answer
	err     error
}

// history collects the requests of callers with their answers, and the journal of
// the backend servers, which write to it.
type history struct {
	mu     sync.Mutex
	tokens int
	sends  []send
	lines  []shbackend.JournalLine
	slots  map[shmodel.BackendServer]int
}

// Write adds one line of a journal.
func (h *history) Write(line []byte) (int, error) {
	var l shbackend.JournalLine
	if err := json.Unmarshal(line, &l); err != nil {
		return 0, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lines = append(h.lines, l)
	return len(line), nil
}

func (h *history) setSlots(b shmodel.BackendServer, slots int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.slots == nil {
		h.slots = map[shmodel.BackendServer]int{}
	}
	h.slots[b] = slots
}

// token returns a text that is unique in the history.
func (h *history) token() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens++
	return "token-" + strconv.Itoa(h.tokens)
}

// do sends a request and records the result.
func (h *history) do(c doer, r shcaller.Request) shcaller.Answer {
	s := send{request: r, begun: time.Now()}
	s.answer, s.err = c.Do(context.Background(), r)
	s.ended = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sends = append(h.sends, s)
	return s.answer
}

// get sends an idempotent request.
func (h *history) get(c doer, service shmodel.Service, timeout time.Duration) shcaller.Answer {
	return h.do(c, shcaller.Request{Service: service, Method: http.MethodGet, URI: "/read/" + h.token(), Timeout: timeout})
}

// paymentRequest returns a request for once-only work with a key.
func (h *history) paymentRequest(key string, timeout time.Duration) shcaller.Request {
	return shcaller.Request{
		Service: payments, Method: http.MethodPost, URI: "/payments/" + url.PathEscape(key), Key: key,
		Body: []byte("pay " + key), Timeout: timeout,
	}
}

// pay sends once-only work until it is answered, at most three times with the
// same key.
func (h *history) pay(c doer, key string, timeout time.Duration) shcaller.Answer {
	var a shcaller.Answer
	for range 3 {
		a = h.do(c, h.paymentRequest(key, timeout))
		if a.Outcome == shmodel.Answered {
			break
		}
	}
	return a
}

// answers counts the answers of a service.
func (h *history) answers(service shmodel.Service) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, s := range h.sends {
		if s.request.Service == service && s.answer.Outcome == shmodel.Answered {
			count++
		}
	}
	return count
}

// reasonsWithoutKeyState lists the reasons of refusals that say nothing about
// earlier sends of the key: no quorum returned the state of the key before the
// deadline.
var reasonsWithoutKeyState = map[string]bool{"deadline": true, "control-unavailable": true, "not ready": true}

// findings compares the outcomes that callers received with the requests that
// backend servers ran, and lists the contradictions.
func (h *history) findings() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.slotFindings()
	byRequest := map[shmodel.RequestID][]shbackend.JournalLine{}
	byKey := map[string][]shbackend.JournalLine{}
	for _, l := range h.lines {
		if l.Event == "started" {
			byRequest[l.RequestID] = append(byRequest[l.RequestID], l)
			if l.Key != "" {
				byKey[l.Key] = append(byKey[l.Key], l)
			}
		}
	}
	for key, lines := range byKey {
		if len(lines) > 1 {
			f = append(f, fmt.Sprintf("key %s was started %d times: %v", key, len(lines), lines))
		}
	}
	next := map[string]time.Time{}
	for _, s := range slices.Backward(h.sends) {
		key := s.request.Key
		switch s.answer.Outcome {
		case shmodel.Answered:
			f = append(f, answerFindings(s, byRequest, byKey)...)
		case shmodel.NotRun:
			if runs := byRequest[s.answer.RequestID]; s.answer.RequestID != 0 && len(runs) > 0 {
				f = append(f, fmt.Sprintf("request %s was reported as not-run but ran: %v", s.answer.RequestID, runs))
			}
			for _, l := range byKey[key] {
				// A run after the next send of the key may be due to that send, so
				// it does not contradict this one.
				if later, ok := next[key]; key != "" && !reasonsWithoutKeyState[reasonOf(s.answer)] && (!ok || l.At.Before(later)) {
					f = append(f, fmt.Sprintf("a send of key %s was reported as not-run (%s) but the key ran: %v", key, reasonOf(s.answer), l))
				}
			}
		}
		next[key] = s.begun
	}
	return f
}

func (h *history) slotFindings() []string {
	var f []string
	for _, l := range h.lines {
		if l.Event == "started" && l.InFlight > h.slots[l.BackendServer] {
			f = append(f, fmt.Sprintf("%s ran %d requests in %d slots", l.BackendServer, l.InFlight, h.slots[l.BackendServer]))
		}
		if l.Event == "shed" {
			f = append(f, fmt.Sprintf("%s was sent more requests than it has slots: request %s", l.BackendServer, l.RequestID))
		}
	}
	return f
}

// answerFindings checks that an answer is complete and belongs to its request,
// and that the request or its key ran.
func answerFindings(s send, byRequest map[shmodel.RequestID][]shbackend.JournalLine, byKey map[string][]shbackend.JournalLine) []string {
	var f []string
	path, _ := url.PathUnescape(s.request.URI)
	want := fmt.Sprintf(" ran %s %s, body %d bytes\n", s.request.Method, path, len(s.request.Body))
	if s.answer.Status != http.StatusOK || !bytes.HasSuffix(s.answer.Body, []byte(want)) {
		f = append(f, fmt.Sprintf("request %s for %s got a wrong answer: %d %q", s.answer.RequestID, path, s.answer.Status, s.answer.Body))
	}
	ran := len(byRequest[s.answer.RequestID]) > 0 || s.request.Key != "" && len(byKey[s.request.Key]) > 0
	if !ran {
		f = append(f, fmt.Sprintf("request %s for %s was answered but never ran", s.answer.RequestID, path))
	}
	return f
}

func reasonOf(a shcaller.Answer) string {
	var p shwire.Problem
	_ = json.Unmarshal(a.Body, &p)
	return p.Reason
}

// accountFindings compares the outcomes that callers received with an export
// of the account. The closing record of a killed VM may be lost; the export
// then has the outcome unknown.
func (h *history) accountFindings(export io.Reader, killed map[shmodel.VM]bool) ([]string, error) {
	lines := map[shmodel.RequestID][]shrecord.Line{}
	var f []string
	decoder := json.NewDecoder(export)
	for {
		var l shrecord.Line
		err := decoder.Decode(&l)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if l.Kind == shrecord.RequestLine {
			lines[l.RequestID] = append(lines[l.RequestID], l)
		}
		if l.Kind == shrecord.GapLine && !killed[l.VM] {
			f = append(f, fmt.Sprintf("request ID %s of %s has no record", l.RequestID, l.VM))
		}
		for _, p := range l.Problems {
			f = append(f, fmt.Sprintf("account of request %s: %s %s", l.RequestID, p.Kind, p.Detail))
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.sends {
		id := s.answer.RequestID
		if id == 0 || s.err != nil {
			continue
		}
		if len(lines[id]) != 1 {
			f = append(f, fmt.Sprintf("request %s, reported as %s by %s, has %d lines", id, s.answer.Outcome, s.answer.Entry.VM, len(lines[id])))
			continue
		}
		l := lines[id][0]
		lost := killed[l.VM] && l.Outcome == shmodel.Unknown
		if l.Outcome != s.answer.Outcome && !lost {
			f = append(f, fmt.Sprintf("request %s was reported as %s but is %s in the account (%s)", id, s.answer.Outcome, l.Outcome, l.Reason))
		}
	}
	return f, nil
}

// logFindings checks the log of a VM: revisions never decrease, also across
// restarts, and there is no panic and no data race.
func logFindings(file string) ([]string, error) {
	log, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	var f []string
	var last uint64
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var l struct {
			Msg      string
			VM       shmodel.VM
			Revision uint64
		}
		text := scanner.Text()
		if strings.Contains(text, "DATA RACE") || strings.HasPrefix(text, "panic:") {
			f = append(f, file+": "+text)
		}
		if json.Unmarshal([]byte(text), &l) != nil || l.Msg != "configuration in force" {
			continue
		}
		if l.Revision < last {
			f = append(f, fmt.Sprintf("configuration at %s went from revision %d back to %d", l.VM, last, l.Revision))
		}
		last = l.Revision
	}
	return f, scanner.Err()
}

// check fails the test if the history, the logs or the account have a finding.
// Requests do not wait for all of their records, which may reach the account
// later, so the export is repeated for up to 10 s.
func (d *deployment) check() {
	d.t.Helper()
	if d.network != nil {
		d.network.block(nil)
	}
	report := d.history.findings()
	killed := map[shmodel.VM]bool{}
	for name, v := range d.vms {
		killed[name] = v.killed
		f, err := logFindings(d.logFile(v))
		if err != nil {
			f = append(f, err.Error())
		}
		report = append(report, f...)
	}
	var account []string
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		export, err := d.export()
		if err == nil {
			account, err = d.history.accountFindings(export, killed)
		}
		if err != nil {
			account = []string{"export: " + err.Error()}
		}
		if len(account) == 0 {
			break
		}
	}
	report = append(report, account...)
	for _, line := range report[:min(len(report), 20)] {
		d.t.Error(line)
	}
	outcomes := map[shmodel.Outcome]int{}
	for _, s := range d.history.sends {
		outcomes[s.answer.Outcome]++
	}
	d.t.Logf("%d findings; reported outcomes: %v", len(report), outcomes)
}

// direct is a caller that sends requests to one entry VM without lookups.
type direct struct{ address string }

// Do implements doer.
func (c *direct) Do(ctx context.Context, r shcaller.Request) (shcaller.Answer, error) {
	var a shcaller.Answer
	ctx, cancel := context.WithTimeout(ctx, r.Timeout+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.address+r.URI, bytes.NewReader(r.Body))
	if err != nil {
		return a, err
	}
	for name, values := range r.Header {
		request.Header[name] = values
	}
	request.Header.Set(shwire.HeaderService, string(r.Service))
	request.Header.Set(shwire.HeaderTimeout, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	if r.Key != "" {
		request.Header.Set(shwire.HeaderKey, r.Key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return a, err
	}
	defer response.Body.Close()
	a.Status, a.Header = response.StatusCode, response.Header
	a.Outcome = shmodel.Outcome(response.Header.Get(shwire.HeaderOutcome))
	_ = a.RequestID.UnmarshalText([]byte(response.Header.Get(shwire.HeaderRequestID)))
	a.Body, err = io.ReadAll(response.Body)
	return a, err
}
