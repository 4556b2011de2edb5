package shsettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shsettings"
)

const fleetSettings = `{
  "vm": "control-1", "failureDomain": "east-a", "region": "east", "regions": {"east-a": "east", "west-a": "west"},
  "ip": "127.0.0.1", "entryAddress": "", "readinessAddress": "", "directoryAddress": "",
  "controlAddress": "127.0.0.1:8649", "peerPort": 7620, "seeds": ["127.0.0.1:8649", "127.0.0.2:8649"],
  "bootstrap": true, "dataFolder": "/data", "tolerateLosses": 2, "heartbeatSeconds": 1.5, "stopSeconds": 6,
  "cacheSeconds": 1, "memoryMb": 280
}`

// Guards against a process that starts with invalid settings.
func TestLoadFleet(t *testing.T) {
	load := func(text string) (shsettings.Fleet, error) {
		file := filepath.Join(t.TempDir(), "settings.json")
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		return shsettings.LoadFleet(file)
	}
	f, err := load(fleetSettings)
	assert.NilError(t, err)
	assert.Equal(t, f.PeerAddress(), "127.0.0.1:7620")
	assert.DeepEqual(t, f.PeerSeeds(), []string{"127.0.0.1:7620", "127.0.0.2:7620"})
	for want, replace := range map[string][2]string{
		"vm":               {`"control-1"`, `""`},
		"failureDomain":    {`"failureDomain": "east-a"`, `"failureDomain": "moon"`},
		"ip":               {`"ip": "127.0.0.1"`, `"ip": "here"`},
		"peerPort":         {"7620", "0"},
		"seeds":            {`["127.0.0.1:8649", "127.0.0.2:8649"]`, "[]"},
		"address \"x\"":    {`"127.0.0.2:8649"`, `"x"`},
		"dataFolder":       {`"/data"`, `""`},
		"heartbeatSeconds": {"1.5", "0"},
		"stopSeconds":      {`"stopSeconds": 6`, `"stopSeconds": -1`},
		"tolerateLosses":   {`"tolerateLosses": 2`, `"tolerateLosses": -1`},
		"unknown":          {`"vm"`, `"unknown": 1, "vm"`},
		"memoryMb":         {"280", `"280"`},
		"maxFds":           {`"memoryMb": 280`, `"maxFds": -1`},
		"diskMb":           {`"memoryMb": 280`, `"diskMb": -1`},
		"accountMb":        {`"memoryMb": 280`, `"accountMb": -1`},
		"repeatShare":      {`"memoryMb"`, `"repeatShare": 0.21, "memoryMb"`},
	} {
		t.Run(want, func(t *testing.T) {
			text := strings.Replace(fleetSettings, replace[0], replace[1], 1)
			assert.Assert(t, text != fleetSettings)
			_, err := load(text)
			assert.ErrorContains(t, err, want)
		})
	}
}

// Guards against an account that fills the disk of the replicated state, and against
// a bound in a deployment that states none.
func TestAccountBytes(t *testing.T) {
	for want, f := range map[int64]shsettings.Fleet{
		0: {}, 160 << 20: {DiskMB: 256}, 20 << 20: {DiskMB: 256, AccountMB: 20}, 7 << 20: {AccountMB: 7},
	} {
		assert.Equal(t, f.AccountBytes(), want)
	}
}
