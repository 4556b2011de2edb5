// Package shcaller is a client for callers.
//
// A Client asks an entry VM which entry VMs serve a service, caches the answer
// for as long as the answer permits, and sends requests to the first entry VM
// that answers. Idempotent requests and requests with an idempotency key are
// sent again through another entry VM when a connection fails: the system runs
// the request of a key at most once, so a resend with the same key is safe.
package shcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shanswer"
)

const (
	// maxAnswerBytes bounds the body of an answer, in bytes.
	maxAnswerBytes = 64 << 20
	lookupTimeout  = 2 * time.Second
	dialTimeout    = time.Second
	idleTimeout    = 5 * time.Second
	// graceTimeout is the time beyond the timeout of a request after which the
	// client stops waiting for an answer, since the connection may be silent.
	graceTimeout   = 500 * time.Millisecond
	defaultTimeout = 5 * time.Second
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindLookup says that no entry VM gave a usable answer to a lookup.
	KindLookup Kind = "lookup"
	// KindSend says that no entry VM answered the request.
	KindSend Kind = "send"
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is one request of a caller.
type Request struct {
	Service shmodel.Service
	Method  string
	// URI is the path with an optional query.
	URI string
	// Key is the idempotency key, which once-only operations need.
	Key    string
	Header http.Header
	Body   []byte
	// Timeout covers all sends of the request; 0 selects 5 s.
	Timeout time.Duration
}

// Answer is a complete answer to a request.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte
	RequestID shmodel.RequestID
	// Outcome is empty if the answer did not come from the system.
	Outcome shmodel.Outcome
	Entry   shwire.EntryAddress
	// Sends is the number of times that the request was sent.
	Sends int
}

// Client sends requests. It is safe for concurrent use. Its errors are of type
// *Error.
type Client struct {
	// Seeds lists caller addresses of entry VMs, IP:port. Lookups go to them
	// while no entry VM is known or no known one answers.
	Seeds []string

	once    sync.Once
	http    http.Client
	mu      sync.Mutex
	lookups map[shmodel.Service]cachedLookup
}

// cachedLookup is the last answer to a lookup. It is valid until expiry, and
// kept after that for when no entry VM answers.
type cachedLookup struct {
	entries shwire.Entries
	expiry  time.Time
}

func (c *Client) init() {
	c.once.Do(func() {
		c.lookups = map[shmodel.Service]cachedLookup{}
		// A redirect is the answer of a backend server. Following it would send
		// another request with the same key.
		c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
		t := &shanswer.Transport{Dialer: net.Dialer{Timeout: dialTimeout}}
		t.IdleConnTimeout = idleTimeout
		t.MaxIdleConnsPerHost = 64
		t.DisableCompression = true
		c.http.Transport = t
	})
}

// Lookup returns the entry VMs for a service, from the cache while the cached
// answer is valid. An expired answer is returned only when no entry VM answers.
func (c *Client) Lookup(ctx context.Context, service shmodel.Service) (shwire.Entries, error) {
	c.init()
	c.mu.Lock()
	old := c.lookups[service]
	c.mu.Unlock()
	if time.Now().Before(old.expiry) {
		return old.entries, nil
	}
	var failures []error
	for _, address := range c.lookupAddresses(old.entries) {
		e, err := c.lookupAt(ctx, address, service)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		expiry := time.Now().Add(time.Duration(e.CacheForMS) * time.Millisecond)
		c.mu.Lock()
		c.lookups[service] = cachedLookup{entries: e, expiry: expiry}
		c.mu.Unlock()
		return e, nil
	}
	if len(old.entries.Entries) > 0 {
		return old.entries, nil
	}
	if len(failures) == 0 {
		failures = append(failures, errors.New("no entry VM to ask"))
	}
	return shwire.Entries{}, &Error{Op: "lookup", Kind: KindLookup, Err: errors.Join(failures...)}
}

// lookupAddresses lists the addresses of the known entry VMs, then the seeds.
func (c *Client) lookupAddresses(e shwire.Entries) []string {
	var addresses []string
	for _, entry := range e.Entries {
		addresses = append(addresses, entry.Address)
	}
	for _, seed := range c.Seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

func (c *Client) lookupAt(ctx context.Context, address string, service shmodel.Service) (shwire.Entries, error) {
	var e shwire.Entries
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	target := "http://" + address + shwire.PathEntries + "?service=" + url.QueryEscape(string(service))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return e, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return e, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return e, fmt.Errorf("lookup at %s answered with status %d", address, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(&e)
	if err == nil && len(e.Entries) == 0 {
		err = fmt.Errorf("lookup at %s returned no entry VM", address)
	}
	return e, err
}

// Do sends a request until an entry VM answers or the request may not be sent
// again. An answer of any status is returned as an Answer; an error says that
// no answer came.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	if r.Timeout <= 0 {
		r.Timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout+graceTimeout)
	defer cancel()
	entries, err := c.Lookup(ctx, r.Service)
	if err != nil {
		return Answer{}, err
	}
	deadline := time.Now().Add(r.Timeout)
	var failures []error
	for i, entry := range entries.Entries {
		a, err := c.send(ctx, entry, r, time.Until(deadline))
		a.Sends = i + 1
		if err == nil {
			return a, nil
		}
		failures = append(failures, err)
		if !resendable(r, err) || ctx.Err() != nil {
			break
		}
		c.ExpireLookup(r.Service)
	}
	return Answer{}, &Error{Op: "request", Kind: KindSend, Err: errors.Join(failures...)}
}

// ExpireLookup makes the next Lookup of a service ask an entry VM. The cached
// answer is kept for when no entry VM answers.
func (c *Client) ExpireLookup(service shmodel.Service) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.lookups[service]
	old.expiry = time.Time{}
	c.lookups[service] = old
}

// resendable reports whether a request that failed with err may be sent again:
// it was not sent because the connection could not be opened, or it is
// idempotent or has a key.
func resendable(r Request, err error) bool {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	return notSent || r.Key != "" || r.Method == http.MethodGet || r.Method == http.MethodHead
}

func (c *Client) send(ctx context.Context, entry shwire.EntryAddress, r Request, remaining time.Duration) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+entry.Address+r.URI, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, err
	}
	if r.Header != nil {
		request.Header = r.Header.Clone()
	}
	request.Header.Set(shwire.HeaderService, string(r.Service))
	request.Header.Set(shwire.HeaderTimeout, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if r.Key != "" {
		request.Header.Set(shwire.HeaderKey, r.Key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if !shmodel.IsFinalStatus(response.StatusCode) {
		c.http.CloseIdleConnections()
		return Answer{}, fmt.Errorf("status %q is no answer", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, fmt.Errorf("answer broke off after %d bytes: %w", len(body), err)
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, fmt.Errorf("answer is larger than %d bytes", maxAnswerBytes)
	}
	a := Answer{Status: response.StatusCode, Header: response.Header, Body: body, Entry: entry}
	a.Outcome = shmodel.Outcome(response.Header.Get(shwire.HeaderOutcome))
	if text := response.Header.Get(shwire.HeaderRequestID); text != "" {
		err = a.RequestID.UnmarshalText([]byte(text))
	}
	return a, err
}
