package shhome_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shhome"
	"sequoiahollow/state/shmodel"
)

func key(name string) shhome.Home { return shhome.Home{Key: shhome.Key{Route: "read", Name: name}} }

func home(name string, region shmodel.Region) shhome.Home {
	return shhome.Home{Key: shhome.Key{Route: "read", Name: name}, Region: region}
}

// Callers of the region north move to the south; the key keeps its home.
func ExampleTable() {
	var t shhome.Table
	now := time.Now()
	t.Report(now, "north", []shhome.Home{key("17")})
	t.Report(now, "south", []shhome.Home{key("17"), key("18")})
	homes, _ := t.Since(0)
	for _, h := range homes {
		fmt.Println(h.Name, h.Region)
	}
	// Output:
	// 17 north
	// 18 south
}

func assertHomes(t *testing.T, x *shhome.Table, since uint64, want ...shhome.Home) {
	t.Helper()
	homes, _ := x.Since(since)
	assert.DeepEqual(t, homes, want)
}

// Guards against a home that outlives the requests from its region, and against one
// that moves while they go on.
func TestLifetime(t *testing.T) {
	var x shhome.Table
	now := time.Now()
	x.Report(now, "north", []shhome.Home{key("a"), key("b")})
	_, last := x.Since(0)
	later := now.Add(shhome.HomeLifetime - time.Second)
	x.Report(later, "north", []shhome.Home{key("a")})
	x.Report(later, "south", []shhome.Home{key("a"), key("b")})
	assertHomes(t, &x, last)
	later = later.Add(2 * time.Second)
	x.Report(later, "south", []shhome.Home{key("a"), key("b")})
	assertHomes(t, &x, last, home("b", "south"))
}

// Guards against homes that change because a new leader does not know them.
func TestNewLeader(t *testing.T) {
	var x shhome.Table
	x.Report(time.Now(), "south", []shhome.Home{home("a", "north"), key("b")})
	assertHomes(t, &x, 0, home("a", "north"), home("b", "south"))
}

// Guards against a table that grows without bound, by keys or by changes of homes.
func TestBound(t *testing.T) {
	var x shhome.Table
	now := time.Now()
	for i := range 2 * shhome.MaxKeys {
		x.Report(now, "north", []shhome.Home{key(fmt.Sprint(i))})
	}
	assert.Equal(t, x.Len(), shhome.MaxKeys)
	now = now.Add(2 * shhome.HomeLifetime)
	x.Report(now, "south", []shhome.Home{key("new")})
	assertHomes(t, &x, 2*shhome.MaxKeys)
	homes, _ := x.Since(0)
	assert.DeepEqual(t, homes, []shhome.Home{home("new", "south")})
}

// Guards against keys without homes because another route has very many keys, and against
// keys that lose their homes to new ones of the same route.
func TestFullTable(t *testing.T) {
	var x shhome.Table
	now := time.Now()
	x.Report(now, "north", []shhome.Home{key("first")})
	busy := make([]shhome.Home, 2*shhome.MaxKeys)
	for i := range busy {
		busy[i] = shhome.Home{Key: shhome.Key{Route: "busy", Name: fmt.Sprint(i)}}
	}
	x.Report(now, "north", busy)
	_, last := x.Since(0)
	x.Report(now, "south", busy)
	assertHomes(t, &x, last)
	x.Report(now, "south", []shhome.Home{key("first"), key("second")})
	assertHomes(t, &x, last, home("second", "south"))
	assert.Equal(t, x.Len(), shhome.MaxKeys)
}
