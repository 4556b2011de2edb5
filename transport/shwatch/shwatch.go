// Package shwatch keeps an observer's view of the fleet up to date.
//
// A Watcher repeats the watch call to the leader of the control VMs and applies
// each change to a view whose log index never decreases. Readers load the view
// without locks. If the leader does not answer, the Watcher tries the other
// control VMs that it knows: those in the last answer, then the seeds.
//
// With RevokeWithin set, KeysUntil says how long the keys of the view may be accepted.
// docs/design/keys.md shows that a key stops within that time everywhere.
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
	"sequoiahollow/state/shclock"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shleader"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shregistry"
)

const (
	// answerMargin is how long a watch call may take beyond the long poll: a round
	// trip between regions, a commit and the delay of a busy VM.
	answerMargin = 600 * time.Millisecond
	// searchTimeout bounds one search for the leader. A search that fails is logged
	// and repeated.
	searchTimeout = 5 * time.Second
	// malformedPause is the pause after an answer that cannot be decoded.
	malformedPause = 200 * time.Millisecond
	// silentTime is how long a control VM whose answer was late is left out. An election
	// is over 1.7 s after the loss of the leader (its longest timeout is 1.4 s), and the
	// call to it has taken 1.1 s of that or more.
	silentTime = 700 * time.Millisecond
)

// Watcher keeps a view up to date. Set the exported fields and call Run.
type Watcher struct {
	VM     shmodel.VM
	Client *shpeer.Client
	// Seeds returns the peer addresses of some control VMs.
	Seeds func() []string
	// Entry returns the announcement of an entry VM, or nil while there is none.
	// It is nil on VMs that announce nothing.
	Entry func() *shfleet.Entry
	// Changed is called after each new view.
	Changed func(shfleet.View)
	// RevokeWithin is the time after the acknowledgement of a table within which keys
	// that it took away must stop, zero for no bound.
	RevokeWithin time.Duration
	// Clock measures the permission to accept keys; nil means shclock.SinceBoot.
	Clock  shclock.Func
	Logger *slog.Logger

	watchFinder      shleader.Finder // for the watch call, which has a longer timeout
	finder           shleader.Finder
	shareFinder      shleader.Finder
	allowanceFinder  shleader.Finder // for asks, which have a shorter timeout
	view             atomic.Pointer[shfleet.View]
	lastAnswer       atomic.Pointer[time.Time] // nil before the first
	permission       atomic.Int64              // see permittedSince
	notRenewed       bool                      // the last answer did not renew it
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

// Age returns the time since the last answer of the leader. It returns false
// before the first answer.
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
	w.allowanceFinder.CallTimeout = askCallTimeout
	for ctx.Err() == nil {
		w.poll(ctx)
	}
}

// Announce ends the watch call in progress if Entry has changed, so that Run makes
// the next one with the new announcement.
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

// Reserve reserves a range of account record numbers.
func (w *Watcher) Reserve(ctx context.Context, c shcontrol.ReserveRange) (shrecord.Range, error) {
	return shleader.Call[shrecord.Range](ctx, &w.finder, w.Client, w.addresses, shregistry.MethodReserve, c)
}

// Share tells the leader what this VM knows and returns what others told it.
func (w *Watcher) Share(ctx context.Context, q shregistry.ShareRequest) (shregistry.ShareResponse, error) {
	return shleader.Call[shregistry.ShareResponse](ctx, &w.shareFinder, w.Client, w.addresses, shregistry.MethodShare, q)
}

// ControlAddresses returns the peer addresses of the control VMs in the last
// answer of the leader.
func (w *Watcher) ControlAddresses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.controlAddresses)
}

func (w *Watcher) poll(ctx context.Context) {
	request := shregistry.WatchRequest{VM: w.VM, Since: w.View().Index, AcceptsPacked: true}
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	w.mu.Lock()
	if w.Entry != nil {
		request.Entry = w.Entry()
		w.announced = request.Entry
	}
	w.cancel = cancel
	w.mu.Unlock()
	w.watchFinder.CallTimeout, w.watchFinder.SilentTime = w.longestHold()+answerMargin, silentTime
	var sentAt time.Duration
	response, err := shleader.CallEach[shregistry.WatchResponse](ctx, &w.watchFinder, w.Client, w.addresses, shregistry.MethodWatch, func() any {
		sentAt = w.boot()
		request.Hold = w.hold(sentAt)
		return request
	})
	if err != nil {
		if ctx.Err() != context.Canceled {
			age, _ := w.Age()
			w.Logger.Warn("no control VM answers", "age", age.String(), "index", request.Since, "error", err)
		}
		return
	}
	change, err := response.Unpack()
	if err != nil {
		w.Logger.Error("change not applied", "index", request.Since, "error", err)
		shleader.Pause(ctx, malformedPause)
		return
	}
	now := time.Now()
	w.lastAnswer.Store(&now)
	w.mu.Lock()
	w.controlAddresses = response.Control
	w.mu.Unlock()
	w.apply(change)
	w.renewPermission(sentAt, response.Confirmed, change)
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

// addresses returns the peer addresses of the control VMs to try, in that order.
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
