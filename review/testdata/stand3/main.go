// Command stand3 runs the cases of the third review that are scripts: it starts a small
// deployment of the project's own programs on loopback addresses, with stand-ins for
// clients, backend servers and the operator, and checks one rule.
//
//	stand3 CASE FOLDER
//
// It writes record.txt into the folder. The exit status is 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. With TROUBLE=0 in the environment the
// disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the outcome of a case: what broke the rule, nothing if it held.
type verdict []string

// cases by name.
var cases = map[string]func(r *record, trouble bool) (verdict, error){
	"refused":   runRefused,
	"late-ping": runLatePing,
}

// timeLimit bounds a case as a whole.
const timeLimit = 115 * time.Second

func main() {
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		if f := running.Load(); f != nil {
			f.stop()
		}
		fmt.Fprintln(os.Stderr, "ended before the case was over")
		os.Exit(2)
	}()
	os.Exit(runCase(os.Args[1:], os.Getenv("TROUBLE") != "0"))
}

func runCase(args []string, trouble bool) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		return 2
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.file.Close()
	broken, err := cases[args[0]](r, trouble)
	switch {
	case err != nil:
		r.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(broken) > 0:
		for _, b := range broken {
			r.log("BROKEN: %s", b)
		}
		fmt.Println("broken:", broken[0])
		return 1
	}
	r.log("the rule held")
	fmt.Println("held")
	return 0
}
