// Package shdaemon composes the roles of one process.
package shdaemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sync/errgroup"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shentry"
)

// Run serves until the context ends, then finishes the requests in flight.
func Run(ctx context.Context, s shsettings.Settings, log *slog.Logger) error {
	account, err := openAccount(s.DataFolder)
	if err != nil {
		return err
	}
	defer func() { _ = account.file.Close() }()
	entry := &shentry.Entry{
		Self:       shwire.EntryAddress{VM: s.VM, Region: s.Region, FailureDomain: s.FailureDomain, Address: s.CallerAddress},
		Dispatcher: shentry.NewDispatcher(),
		Write:      account.write,
	}
	g, ctx := errgroup.WithContext(ctx)
	serve := func(address string, h http.Handler) error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		server := shentry.NewServer(h)
		g.Go(func() error {
			<-ctx.Done()
			return server.Shutdown(context.WithoutCancel(ctx))
		})
		g.Go(func() error {
			if err := server.Serve(l); err != http.ErrServerClosed {
				return err
			}
			return nil
		})
		return nil
	}
	if err := serve(s.CallerAddress, entry.CallerHandler()); err != nil {
		return err
	}
	if err := serve(s.ServerAddress, entry.ServerHandler()); err != nil {
		return err
	}
	log.Info("daemon started", "vm", s.VM, "callerAddress", s.CallerAddress, "serverAddress", s.ServerAddress)
	return g.Wait()
}

type account struct {
	mu   sync.Mutex
	file *os.File
}

func openAccount(folder string) (*account, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(folder, "account.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return &account{file: f}, err
}

func (a *account) write(records ...shrecord.Record) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range records {
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		if _, err := a.file.Write(append(line, '\n')); err != nil {
			return err
		}
	}
	return a.file.Sync()
}
