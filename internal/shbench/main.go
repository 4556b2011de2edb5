// Command shbench measures the whole path with separate processes on loopback.
//
// It starts the daemons and stand-in backend servers of an example, with a
// relay at each advertised address that adds the one-way delay between the two
// places. It then compares requests through the system with direct calls to the
// same backend servers, measures a claim and an account record alone, and loads
// one entry VM. The result is a table in Markdown on standard output.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shdaemon"
)

// example is a deployment to measure.
type example struct {
	folder string
	// addressPrefix is the prefix of the addresses in the settings, which is
	// replaced by ownAddressPrefix.
	addressPrefix, ownAddressPrefix string
	backendAddressPrefix            string
	idempotent, onceOnly            shmodel.Service
	onceOnlyPath                    string
}

var examples = map[string]example{
	"huon-ridge": {
		folder: "examples/huon-ridge", addressPrefix: `"127.1`, ownAddressPrefix: `"127.23`, backendAddressPrefix: "127.230.",
		idempotent: "field-sampling-records", onceOnly: "issuance-payments-ledger", onceOnlyPath: "/payments",
	},
	"leadlight": {
		folder: "examples/leadlight", addressPrefix: `"127.2`, ownAddressPrefix: `"127.24`, backendAddressPrefix: "127.240.",
		idempotent: "proof-viewing", onceOnly: "deposits", onceOnlyPath: "/deposits",
	},
}

type options struct {
	Run    runCommand    `cmd:"" help:"Measure one example."`
	Daemon daemonCommand `cmd:"" hidden:"" help:"Run a daemon behind relays."`
}

type runCommand struct {
	Example string `arg:"" enum:"huon-ridge,leadlight" help:"Example to measure."`
	Root    string `default:"." help:"Root of the repository."`
}

// Run starts the deployment, measures it and stops it.
func (r *runCommand) Run() error {
	e := examples[r.Example]
	d, err := start(e, r.Root, filepath.Join(r.Root, "demo-data", "shbench-"+r.Example))
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return err
	}
	return measure(d)
}

type daemonCommand struct {
	Settings string `required:"" help:"Settings file."`
}

// Run runs a daemon until SIGTERM. Its listeners, but for that of the operator
// interface, are behind relays.
func (c *daemonCommand) Run() error {
	s, err := shsettings.Load(c.Settings)
	if err != nil {
		return err
	}
	shdaemon.ListenWith(func(network, address string) (net.Listener, error) {
		if address != s.OperatorAddress {
			address = behindRelay(address)
		}
		return net.Listen(network, address)
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return shdaemon.Run(ctx, s, slog.New(slog.NewJSONHandler(os.Stderr, nil)))
}

func main() {
	var o options
	if err := kong.Parse(&o, kong.Description("Measures the whole path on loopback.")).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "shbench:", err)
		os.Exit(1)
	}
}
