// Command shbackend runs one stand-in backend server for the demo and for
// tests with separate processes.
package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shbackend"
)

// crashStatus is the exit status after a request that crashes the server.
const crashStatus = 7

type options struct {
	Name          string        `required:"" help:"Name of the backend server."`
	Service       string        `required:"" help:"Service that it offers."`
	Region        string        `required:"" help:"Region that it runs in."`
	FailureDomain string        `required:"" help:"Failure domain that it runs in."`
	Address       string        `default:"127.0.0.1:0" help:"IP:port to listen on."`
	Owners        string        `required:"" help:"Server addresses of entry VMs, separated by commas."`
	Slots         int           `default:"3" help:"Requests that it runs at the same time."`
	Connections   int           `default:"360" help:"Connections that it accepts."`
	ServiceTime   time.Duration `default:"5ms" help:"Duration of a request."`
	ColdFor       time.Duration `default:"0s" help:"Duration of the cold start."`
	ColdFactor    float64       `default:"4" help:"Factor on the service time during the cold start."`
	Journal       string        `help:"File that receives one JSON line per event of a run."`
	ReportIdle    bool          `help:"Always report no load."`
	ReportLag     time.Duration `help:"Delay of the reported load."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Stand-in backend server."))
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	if err := run(o, log); err != nil {
		log.Error("backend server stopped", "error", err)
		os.Exit(1)
	}
}

func run(o options, log *slog.Logger) error {
	var journal io.Writer
	if o.Journal != "" {
		f, err := os.OpenFile(o.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		journal = f
	}
	s, err := shbackend.Start(shbackend.Config{
		BackendServer: shmodel.BackendServer(o.Name), Service: shmodel.Service(o.Service),
		Place:   shmodel.Place{Region: shmodel.Region(o.Region), FailureDomain: shmodel.FailureDomain(o.FailureDomain)},
		Address: o.Address, Slots: o.Slots, Connections: o.Connections,
		Owners: strings.Split(o.Owners, ","), ServiceTime: o.ServiceTime,
		ColdFor: o.ColdFor, ColdFactor: o.ColdFactor, Journal: journal,
		Crash:  func() { os.Exit(crashStatus) },
		Faults: shbackend.Faults{ReportIdle: o.ReportIdle, ReportLag: o.ReportLag},
	})
	if err != nil {
		return err
	}
	log.Info("backend server started", "name", o.Name, "address", s.Address())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
	s.Leave()
	time.Sleep(time.Second)
	return s.Close()
}
