package shloopback_test

import (
	"testing"

	"sequoiahollow/transport/shloopback"
)

// Guards against two processes of a test that are told to listen at the same address, so
// that the one which is later does not start.
func TestFreeAddressesDiffer(t *testing.T) {
	// Of 7,034 ports, which Linux gave out here, 400 draws repeat one nearly always.
	const draws = 400
	seen := map[string]bool{}
	for range draws {
		address := shloopback.Free(t)
		if seen[address] {
			t.Errorf("%s was returned twice", address)
		}
		seen[address] = true
	}
}
