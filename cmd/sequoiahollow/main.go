// Command sequoiahollow runs the roles of a VM and operates a deployment.
//
// Results go to standard output, logs and errors to standard error. With
// --json, results and errors are JSON. The exit codes are the exit constants
// of this package.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"sequoiahollow/platform"
)

// commandLine is the command line as kong parses it.
type commandLine struct {
	JSON bool `name:"json" help:"Print results and errors as JSON."`

	Serve  serveCommand `cmd:"" help:"Run the roles of a settings file until a signal, then stop gracefully."`
	Config struct {
		Check   checkCommand   `cmd:"" help:"Check a configuration folder offline and list every mistake."`
		Diff    diffCommand    `cmd:"" help:"Show what a folder would change in the current configuration."`
		Apply   applyCommand   `cmd:"" help:"Make a folder the configuration of the deployment."`
		Show    showCommand    `cmd:"" help:"Print the current configuration."`
		History historyCommand `cmd:"" help:"List accepted edits, newest first."`
		Status  statusCommand  `cmd:"" help:"List the daemons and the revision in force on each."`
	} `cmd:"" help:"Check, compare and change the configuration."`
	Drain   drainCommand   `cmd:"" help:"Take a VM or region out of service."`
	Undrain undrainCommand `cmd:"" help:"Bring a VM or region back into service."`
	Account struct {
		Export  exportCommand  `cmd:"" help:"Print the account, one record a line."`
		Summary summaryCommand `cmd:"" help:"Total the account by service, operation and outcome."`
		Verify  verifyCommand  `cmd:"" help:"Check that no record is missing or counted twice."`
	} `cmd:"" help:"Read the account of requests."`
	Report struct {
		Burn burnCommand `cmd:"" help:"Compare the services with their service levels."`
	} `cmd:"" help:"Print reports."`
	Request requestCommand `cmd:"" help:"Send one request as a caller."`
	Lookup  lookupCommand  `cmd:"" help:"Ask an entry VM which entry VMs to use for a service."`
	Version versionCommand `cmd:"" help:"Print the version."`

	Place    placeCommand     `cmd:"" help:"Print where an entry VM of a fleet would send a request now, and why."`
	Explain  explainCommand   `cmd:"" help:"Print what happened to one request, from the logs of the processes."`
	Platform platform.Command `cmd:"" help:"Run a role on the platform."`
}

func main() {
	// The first signal starts the graceful stop; the handler is then removed,
	// so a second signal ends the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	code := run(ctx, os.Args[1:], streams{in: os.Stdin, out: os.Stdout, err: os.Stderr})
	stop()
	os.Exit(code)
}

// streams are the standard streams of a command.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// environment is passed to the Run method of every command.
type environment struct {
	streams
	ctx  context.Context
	json bool
}

// helpShown is the panic value that ends parsing after the help text, because
// kong expects its exit function not to return.
type helpShown struct{ code int }

// run parses and runs one command line and returns the exit code.
func run(ctx context.Context, args []string, s streams) (code int) {
	var line commandLine
	parser, err := kong.New(&line,
		kong.Name("sequoiahollow"),
		kong.Description("Global traffic steering."),
		kong.Writers(s.out, s.err),
		kong.Exit(func(code int) { panic(helpShown{code}) }),
	)
	if err != nil {
		fmt.Fprintln(s.err, err)
		return exitFailure
	}
	defer func() {
		switch reason := recover().(type) {
		case nil:
		case helpShown:
			code = reason.code
		default:
			panic(reason)
		}
	}()
	parsed, err := parser.Parse(args)
	e := &environment{streams: s, ctx: ctx, json: line.JSON}
	if err == nil {
		err = parsed.Run(e)
	} else {
		err = &exitError{code: exitUsage, err: err}
	}
	return e.finish(err)
}
