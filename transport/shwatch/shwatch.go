// Package shwatch keeps an observer's view of the fleet up to date.
//
// A Watcher repeats the watch call of the leader of the control VMs and applies
// each change to a view that only moves forward. Readers load the view without
// locks. When the leader does not answer, the Watcher goes on with the other
// control VMs that it knows: the seeds, and those that an answer named.
package shwatch

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shleader"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shregistry"
)

const (
	// answerMargin is what a watch call may take beyond its hold: a round trip
	// between regions, a commit and a busy VM.
	answerMargin = 600 * time.Millisecond
	// searchTimeout bounds one search for the leader before a log line is due.
	searchTimeout = 5 * time.Second
)

// Watcher keeps a view. Fill in the fields and call Run.
type Watcher struct {
	VM     shmodel.VM
	Client *shpeer.Client
	// Seeds returns the peer addresses of some control VMs.
	Seeds func() []string
	// Entry returns what the VM says of itself; nil means that it says nothing.
	Entry func() *shfleet.Entry
	// Changed is called after each new view.
	Changed func(shfleet.View)
	Logger  *slog.Logger

	watchFinder      shleader.Finder // for the watch call, which waits longer
	finder           shleader.Finder
	view             atomic.Pointer[shfleet.View]
	lastAnswer       atomic.Pointer[time.Time] // the last answer, nil before the first
	mu               sync.Mutex
	controlAddresses []string
	cancel           context.CancelFunc // ends the call in progress
	announced        *shfleet.Entry
}

// View returns the newest view; it is empty at first.
func (w *Watcher) View() *shfleet.View {
	if v := w.view.Load(); v != nil {
		return v
	}
	return &shfleet.View{}
}

// Age returns how long ago the leader answered last. It reports false before the
// first answer.
func (w *Watcher) Age() (time.Duration, bool) {
	at := w.lastAnswer.Load()
	if at == nil {
		return 0, false
	}
	return time.Since(*at), true
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	w.watchFinder.CallTimeout = shregistry.LongPollTimeout + answerMargin
	for ctx.Err() == nil {
		w.poll(ctx)
	}
}

// Announce repeats the watch call at once if Entry has changed.
func (w *Watcher) Announce() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil && w.Entry != nil && w.announced != nil && *w.Entry() != *w.announced {
		w.cancel()
	}
}

// Propose proposes a command through the leader.
func (w *Watcher) Propose(ctx context.Context, c shfleet.Command) error {
	data, err := shfleet.EncodeCommand(c)
	if err != nil {
		return err
	}
	_, err = shleader.Call[shregistry.ProposeResponse](ctx, &w.finder, w.Client, w.addresses,
		shregistry.MethodPropose, shregistry.ProposeRequest{Command: data})
	return err
}

// Reserve reserves numbers of account records.
func (w *Watcher) Reserve(ctx context.Context, c shcontrol.ReserveRange) (shrecord.Range, error) {
	return shleader.Call[shrecord.Range](ctx, &w.finder, w.Client, w.addresses, shregistry.MethodReserve, c)
}

// ControlAddresses returns the peer addresses of the control VMs that are members now.
func (w *Watcher) ControlAddresses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.controlAddresses)
}

func (w *Watcher) poll(ctx context.Context) {
	request := shregistry.WatchRequest{VM: w.VM, Since: w.View().Index}
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	w.mu.Lock()
	if w.Entry != nil {
		request.Entry = w.Entry()
		w.announced = request.Entry
	}
	w.cancel = cancel
	w.mu.Unlock()
	response, err := shleader.Call[shregistry.WatchResponse](ctx, &w.watchFinder, w.Client, w.addresses, shregistry.MethodWatch, request)
	if err != nil {
		if ctx.Err() != context.Canceled {
			age, _ := w.Age()
			w.Logger.Warn("no control VM answers", "age", age.String(), "index", request.Since, "error", err)
		}
		return
	}
	now := time.Now()
	w.lastAnswer.Store(&now)
	w.mu.Lock()
	w.controlAddresses = response.Control
	w.mu.Unlock()
	w.apply(response.Change)
}

func (w *Watcher) apply(c shfleet.Change) {
	old := w.View()
	next := old.Apply(c)
	if next.Index == old.Index && old.Index > 0 {
		return
	}
	w.view.Store(&next)
	if next.Version != old.Version {
		w.Logger.Info("routing table in force", "version", next.Version, "index", next.Index)
	}
	if w.Changed != nil {
		w.Changed(next)
	}
}

// addresses returns the control VMs to try.
func (w *Watcher) addresses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	addresses := slices.Clone(w.controlAddresses)
	for _, s := range w.Seeds() {
		if !slices.Contains(addresses, s) {
			addresses = append(addresses, s)
		}
	}
	return addresses
}
