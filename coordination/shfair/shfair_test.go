package shfair_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shfair"
)

func ExampleMap() {
	m := shfair.Map[string, int, string]{Max: 3}
	m.Put("quiet", 1, "kept")
	for i := range 10 {
		m.Put("busy", 2+i, "newest")
	}
	v, ok := m.Get(1)
	fmt.Println(v, ok, m.Len())
	// Output: kept true 3
}

// Guards against a group that loses entries although another has more, and against a
// bound that is exceeded.
func TestLargestGroupLoses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 8
		m := shfair.Map[int, int, int]{Max: bound}
		groupOf := map[int]int{}
		for i := range rapid.IntRange(1, 60).Draw(t, "puts") {
			g, k := rapid.IntRange(0, 3).Draw(t, "group"), rapid.IntRange(0, 20).Draw(t, "key")
			if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
				m.Delete(k)
				delete(groupOf, k)
				continue
			}
			groupOf[k] = g
			sizes, newest := map[int]int{}, k
			for _, g := range groupOf {
				sizes[g]++
			}
			m.Put(g, k, i)
			for k, g := range groupOf {
				if _, ok := m.Get(k); ok {
					continue
				}
				assert.Assert(t, k != newest)
				for _, n := range sizes {
					assert.Assert(t, n <= sizes[g], "a group of %d lost an entry, another has %d", sizes[g], n)
				}
				delete(groupOf, k)
			}
			assert.Equal(t, m.Len(), len(groupOf))
			assert.Assert(t, m.Len() <= bound)
		}
	})
}
