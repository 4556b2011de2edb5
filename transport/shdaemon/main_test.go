package shdaemon

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"testing"

	"sequoiahollow/state/shsettings"
)

const (
	// settingsEnv names the settings file with which the test binary runs a daemon
	// instead of the tests.
	settingsEnv = "SHDAEMON_TEST_SETTINGS"
	// relayedEnv makes that daemon listen behind relays if it is set.
	relayedEnv = "SHDAEMON_TEST_RELAYED"
	// relayPortOffset is added to the port of a relay for the port of the daemon.
	relayPortOffset = 1000
)

func TestMain(m *testing.M) {
	if file := os.Getenv(settingsEnv); file != "" {
		os.Exit(runDaemon(file))
	}
	os.Exit(m.Run())
}

// runDaemon runs a daemon until SIGTERM. The process exits at once when its
// standard input is closed, so that it does not outlive the test.
func runDaemon(file string) int {
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(3)
	}()
	if os.Getenv(relayedEnv) != "" {
		listen = func(network, address string) (net.Listener, error) {
			return net.Listen(network, addressBehindRelay(address))
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	settings, err := shsettings.Load(file)
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil)).With("vm", settings.VM)
	if err == nil {
		err = Run(ctx, settings, log)
	}
	if err != nil {
		log.Error("daemon ended", "error", err)
		return 1
	}
	return 0
}

// addressBehindRelay returns the address at which a daemon listens for an
// advertised address. Only server and peer addresses have a relay; callers and
// operators connect directly.
func addressBehindRelay(address string) string {
	host, port, err := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	if err != nil || (n != serverPort && n != peerPort) {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(n+relayPortOffset))
}
