package shregistry

import (
	"context"
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// orderHold is how long an order without a version waits before it is proposed. A copy
// that was held up on its way has been given up by its caller, who has closed the
// connection. That shows one round trip after the order, with other regions too.
const orderHold = 150 * time.Millisecond

// evacuationsResponse is the answer to methodEvacuations.
type evacuationsResponse struct {
	// Index is the log index of the last change of evacuations.
	Index uint64 `json:"index"`
}

// SetEvacuation starts or ends the evacuation of a failure domain. Orders have no number
// that would tell a late copy from a new one, so ctx must end when the caller leaves. An
// order is given up if its caller leaves within orderHold. It has no effect if another
// one takes effect after that, until it has waited again: this VM may have been suspended
// meanwhile, or its message to the leader may have been held up.
func (r *Registry) SetEvacuation(ctx context.Context, zone shmodel.FailureDomain, evacuated bool) error {
	for {
		base, err := leaderCall[evacuationsResponse](ctx, r, methodEvacuations, empty{})
		if err != nil {
			return err
		}
		select {
		case <-time.After(orderHold):
		case <-ctx.Done():
			return &Error{Op: "set evacuation", Kind: KindUnavailable, Err: context.Cause(ctx)}
		}
		result, err := r.Propose(ctx, shfleet.SetEvacuation{Zone: zone, Evacuated: evacuated, Base: &base.Index})
		if err != nil || result != shfleet.Conflict {
			return err
		}
	}
}

// evacuations handles methodEvacuations. The index is confirmed by a quorum.
func (r *Registry) evacuations(ctx context.Context, _ empty) (evacuationsResponse, error) {
	var response evacuationsResponse
	err := r.store.Read(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		response.Index = r.state.EvacuateAt
	})
	return response, err
}
