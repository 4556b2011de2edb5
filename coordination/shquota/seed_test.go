package shquota_test

import "flag"

// Rapid uses a fixed seed, so that a run in CI can be repeated. Flags of the
// command line take precedence.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
}
