// Command standin plays the platform, its operator, backend servers and callers
// for the cases of the review. It starts the project's own programs as separate
// processes on loopback addresses.
//
// Usage, from the root of the repository: standin CASE RECORD. It exits with 1 if
// the rule of the case was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Results of a case, as exit codes.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	caseLimit = 115 * time.Second
)

// cases maps the name of a case to its function.
var cases = map[string]func(*run) int{
	"pipeline": pipelineCase,
	"hot":      hotObjectCase,
	"foreign":  foreignPingCase,
	"freeze":   freezeCase,
	"changes":  changesCase,
}

// run is one run of a case.
type run struct {
	*record
	// trouble says whether the disruption takes place.
	trouble bool
	fleet   *fleet
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(couldNot)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	x := &run{record: r, trouble: os.Getenv("TROUBLE") != "0"}
	x.say("case %s, disruption %v", os.Args[1], x.trouble)
	result := make(chan int, 1)
	go func() { result <- x.play(cases[os.Args[1]]) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	code := couldNot
	select {
	case code = <-result:
	case <-interrupted:
		x.say("interrupted")
	case <-time.After(caseLimit):
		x.say("the case took too long")
	}
	if x.fleet != nil {
		x.fleet.stop()
	}
	x.say("exit %d", code)
	x.close()
	os.Exit(code)
}

// play runs a case. A failure of the set-up ends it with couldNot.
func (x *run) play(f func(*run) int) (code int) {
	defer func() {
		if reason := recover(); reason != nil {
			x.say("the case could not run: %v", reason)
			code = couldNot
		}
	}()
	return f(x)
}

// record writes what happens during a run, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}

// must ends the case as one that could not run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
