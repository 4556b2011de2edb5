package shwatch

import (
	"context"
	"time"

	"sequoiahollow/coordination/shquota"
	"sequoiahollow/transport/shleader"
	"sequoiahollow/transport/shregistry"
)

// askCallTimeout bounds one call for tokens. The requests that wait for them do not wait
// for longer.
const askCallTimeout = 250 * time.Millisecond

// AskAllowance asks the leader for tokens of teams.
func (w *Watcher) AskAllowance(ctx context.Context, a shquota.Ask) (shquota.Answer, error) {
	return shleader.Call[shquota.Answer](ctx, &w.allowanceFinder, w.Client, w.addresses, shregistry.MethodAllowance, a)
}
