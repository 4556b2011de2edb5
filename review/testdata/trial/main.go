// Command trial plays one case of the second independent review: it starts a small
// deployment of the project's programs on loopback addresses, with stand-ins for
// clients, backend servers, the operator and the platform, plays the disruption of the
// case unless TROUBLE is 0, and judges what the stand-ins have seen.
//
// It must run in the root of the repository. The exit status is 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

var cases = map[string]func(ctx context.Context, r *record, trouble bool) (verdict, error){
	"cold-return":       coldReturn,
	"crash-count":       crashCount,
	"late-announcement": lateAnnouncement,
	"popular-page":      popularPage,
	"stale-order":       staleOrder,
}

func init() {
	// The processes of the deployment end with the thread that started them.
	runtime.LockOSThread()
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, trouble %v", name, trouble)
	v, err := cases[name](ctx, r, trouble)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return 2
	case v.broken:
		r.say("the rule was broken: %s", v.summary)
		return 1
	}
	r.say("the rule held: %s", v.summary)
	return 0
}
