package shsteer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"net/http"
	"time"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shaccount"
	"sequoiahollow/transport/shpeer"
)

// exportTimeout bounds the call that reads one page of account records.
const exportTimeout = 5 * time.Second

// maxAccountReads bounds the exports and verifications of the account at a time. Each
// takes pages of records of all control VMs.
const maxAccountReads = 2

// limitReads refuses requests beyond maxAccountReads.
func limitReads() func(http.HandlerFunc) http.HandlerFunc {
	reads := make(chan struct{}, maxAccountReads)
	return func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			select {
			case reads <- struct{}{}:
				defer func() { <-reads }()
				next(w, r)
			default:
				w.Header().Set("Retry-After", "1")
				http.Error(w, "the account is being read by others", http.StatusServiceUnavailable)
			}
		}
	}
}

// registerAccountMethods registers the peer methods that append and read account
// records.
func registerAccountMethods(server *shpeer.Server, store *shaccount.Store) {
	shpeer.Handle(server, shwire.MethodAccountAppend, store.HandleAppend)
	shpeer.Handle(server, shwire.MethodAccountRead, store.Read)
}

// accountLines merges the records of all control VMs that can be read. The second
// result lists the reserved ranges, the third one the control VMs that cannot be
// read.
func (c *Control) accountLines(ctx context.Context) (iter.Seq2[shrecord.Line, error], []shrecord.Range, []shmodel.VM, error) {
	r := c.Registry()
	if r == nil {
		return nil, nil, nil, errors.New("the replicated state is not open")
	}
	ranges, err := r.Ranges(ctx)
	if err != nil {
		return nil, nil, nil, err
	}
	var sources []iter.Seq2[shrecord.Record, error]
	var unread []shmodel.VM
	for _, vm := range r.Controls() {
		read := func(ctx context.Context, q shaccount.ReadRequest) (shaccount.ReadResponse, error) {
			ctx, cancel := context.WithTimeout(ctx, exportTimeout)
			defer cancel()
			return shpeer.Call[shaccount.ReadResponse](ctx, c.client, vm.Address, shwire.MethodAccountRead, q)
		}
		if _, err := read(ctx, shaccount.ReadRequest{Limit: 1}); err != nil {
			unread = append(unread, vm.VM)
			continue
		}
		sources = append(sources, shaccount.Pages(ctx, shaccount.ReadRequest{}, read))
	}
	if len(sources) == 0 {
		return nil, nil, unread, fmt.Errorf("no account can be read of %v", unread)
	}
	return shrecord.Export(ranges, shrecord.Merge(sources...)), ranges, unread, nil
}

// Verification is the answer to GET /v1/account/verify.
type Verification struct {
	shrecord.Report
	// Unread are control VMs whose records could not be read.
	Unread []shmodel.VM `json:"unread,omitempty"`
}

// serveAccount adds the handlers that export and verify the account to a mux.
func (c *Control) serveAccount(mux *http.ServeMux) {
	limit := limitReads()
	mux.HandleFunc("GET /v1/account/export", limit(func(w http.ResponseWriter, r *http.Request) {
		lines, _, unread, err := c.accountLines(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if len(unread) > 0 {
			c.Log.Warn("control VMs left out of the export", "vms", unread)
		}
		encoder := json.NewEncoder(w)
		for line, err := range lines {
			if err == nil {
				err = encoder.Encode(line)
			}
			if err != nil {
				// An aborted connection tells the client that the export is incomplete.
				c.Log.Error("account export ended early", "error", err)
				panic(http.ErrAbortHandler)
			}
		}
	}))
	mux.HandleFunc("GET /v1/account/verify", limit(func(w http.ResponseWriter, r *http.Request) {
		lines, ranges, unread, err := c.accountLines(r.Context())
		var report shrecord.Report
		if err == nil {
			report, err = shrecord.VerifyLines(ranges, lines)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(Verification{Report: report, Unread: unread}); err != nil {
			c.Log.Info("verification not delivered", "error", err)
		}
	}))
}
