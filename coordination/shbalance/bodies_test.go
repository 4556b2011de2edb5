package shbalance_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/state/shmodel"
)

func upload(bytes int64) shbalance.Request {
	r := request("k")
	r.Route.Kind, r.Route.Sticky, r.BodyBytes = shmodel.OnceOnly, false, bytes
	return r
}

// Guards against a backend server that crashes from the large bodies it holds while
// others have none, and against a request that is refused for them.
func TestBodiesInFlight(t *testing.T) {
	const large = 5 << 20
	v := fleet(1) // 3 backend servers
	t.Run("spread", func(t *testing.T) {
		b := balancer("e1", "n1", v)
		seen := map[shmodel.BackendServer]int{}
		var last shbalance.Choice
		for range 3 {
			last = pick(t, b, start, upload(large))
			seen[last.Backend.ID]++
		}
		assert.Equal(t, len(seen), 3)
		// Without room anywhere the choice is that without the count.
		pick(t, b, start, upload(large))
		b.Done(start, last, shbalance.Canceled{})
		assert.Equal(t, pick(t, b, start, upload(large)).Backend.ID, last.Backend.ID)
	})
	t.Run("larger than the limit", func(t *testing.T) {
		pick(t, balancer("e1", "n1", v), start, upload(64<<20))
	})
	t.Run("small ones are not counted", func(t *testing.T) {
		b := balancer("e1", "n1", v)
		first := pick(t, b, start, upload(8<<20))
		assert.Equal(t, pick(t, b, start, upload(60<<10)).Backend.ID, first.Backend.ID)
	})
}
