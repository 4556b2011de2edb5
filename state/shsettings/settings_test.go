package shsettings_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shdocument"
	"sequoiahollow/state/shsettings"
)

const valid = `{
  "vm": "south-1",
  "region": "south",
  "failureDomain": "south-a",
  "roles": ["entry", "control", "account"],
  "dataFolder": "${DIR}/data",
  "callerAddress": "127.1.1.1:7400",
  "serverAddress": "127.1.1.1:7401",
  "peerAddress": "127.1.1.1:7402",
  "operatorAddress": "127.1.1.1:7403",
  "operatorTokenFile": "${DIR}/token",
  "peers": [
    {"vm": "south-1", "region": "south", "failureDomain": "south-a",
      "roles": ["entry", "control", "account"], "peerAddress": "127.1.1.1:7402"},
    {"vm": "north-1", "region": "north", "failureDomain": "north-a",
      "roles": ["control", "account"], "peerAddress": "127.2.1.1:7402"},
    {"vm": "north-2", "region": "north", "failureDomain": "north-b",
      "roles": ["control"], "peerAddress": "127.2.2.1:7402"}
  ]
}`

// write writes the valid settings, changed by a merge patch, and a token file.
// It returns the folder and the settings file.
func write(t *testing.T, patch string) (dir, file string) {
	t.Helper()
	dir = t.TempDir()
	base, problems := shdocument.Parse("", []byte(valid))
	assert.Equal(t, len(problems), 0)
	change, problems := shdocument.Parse("", []byte(patch))
	assert.Equal(t, len(problems), 0, "%v", problems)
	merged := shdocument.Merge(base, change)
	for _, field := range []string{"dataFolder", "operatorTokenFile"} {
		if v := merged.Members[field]; v != nil {
			v.Scalar = os.Expand(fmt.Sprint(v.Scalar), func(string) string { return dir })
		}
	}
	data, err := json.Marshal(merged)
	assert.NilError(t, err)
	file = filepath.Join(dir, "settings.json")
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "token"), []byte("0123456789abcdef\n"), 0o600))
	return dir, file
}

// TestLoadValid guards against mistakes that are reported in valid settings.
func TestLoadValid(t *testing.T) {
	_, file := write(t, `{}`)
	settings, err := shsettings.Load(file)
	assert.NilError(t, err)
	assert.Equal(t, len(settings.Warnings()), 0)
	assert.Assert(t, settings.Has(shsettings.Control))

	_, file = write(t, `{"vm": "north-9", "roles": ["entry"], "dataFolder": null, "peerAddress": "127.1.9.1:7402"}`)
	_, err = shsettings.Load(file)
	assert.NilError(t, err)
}

// TestLoadFaults guards against mistakes that have no effect until another VM
// fails, and against a report that stops at the first mistake.
func TestLoadFaults(t *testing.T) {
	for patch, want := range map[string][]string{
		`{"vm": null, "region": "South", "failureDomain": 3, "colour": 1}`: {
			"/colour: unknown field",
			"/failureDomain: want a string, got the number 3",
			`/peers: VM "" has the control or account role, so it must be listed`,
			`/peers/0/peerAddress: "127.1.1.1:7402" is the address of this VM`,
			`/region: name "South" must consist of lower-case letters, digits and inner hyphens`,
			"/vm: missing",
		},
		`{"roles": []}`: {
			`/peers/0/roles: role "control" differs from the roles of this VM`,
			`/peers/0/roles: role "account" differs from the roles of this VM`,
			`/roles: at least one role is needed: "entry", "control" or "account"`,
		},
		`{"roles": ["entry", "control", "account", "entry", "proxy"]}`: {
			`/roles/3: role "entry" is listed twice`,
			`/roles/4: want "entry", "control" or "account", got "proxy"`,
		},
		`{"dataFolder": null}`:              {"/dataFolder: the control and account roles need a data folder"},
		`{"dataFolder": "${DIR}/token"}`:    {"/dataFolder: DIR/token is not a folder"},
		`{"dataFolder": "${DIR}/token/x"}`:  {"/dataFolder: stat DIR/token/x: not a directory"},
		`{"operatorTokenFile": null}`:       {"/operatorTokenFile: missing"},
		`{"operatorTokenFile": "${DIR}/x"}`: {"/operatorTokenFile: stat DIR/x: no such file or directory"},
		`{"callerAddress": null, "serverAddress": "localhost:1", "operatorAddress": "127.1.1.1:7402"}`: {
			"/callerAddress: missing; want IP:port",
			"/operatorAddress: 127.1.1.1:7402 is also the value of /peerAddress",
			`/serverAddress: want IP:port, got "localhost:1"`,
		},
		`{"callerAddress": "0.0.0.0:1", "serverAddress": "127.0.0.1:0"}`: {
			`/callerAddress: "0.0.0.0:1" is not the address of one interface`,
			`/serverAddress: "127.0.0.1:0" has no port`,
		},
		`{"region": "north", "failureDomain": "north-b", "peerAddress": "127.1.1.1:1"}`: {
			`/peers/0/failureDomain: "south-a" differs from "north-b" of this VM`,
			`/peers/0/peerAddress: "127.1.1.1:7402" differs from "127.1.1.1:1" of this VM`,
			`/peers/0/region: "south" differs from "north" of this VM`,
		},
		`{"vm": "south-9"}`: {
			`/peers: VM "south-9" has the control or account role, so it must be listed`,
			`/peers/0/peerAddress: "127.1.1.1:7402" is the address of this VM`,
		},
		`{"roles": ["entry"], "peers": [
			{"vm": "a", "region": "r", "failureDomain": "f", "roles": ["entry"], "peerAddress": "127.3.1.1:1"},
			{"vm": "a", "region": "r", "failureDomain": "f", "roles": ["account"], "peerAddress": "127.3.1.1:1"}]}`: {
			"/peers: at least one VM with the control role is needed",
			"/peers/0/roles: peers are the VMs with the control or account role",
			"/peers/1/peerAddress: 127.3.1.1:1 is also the value of /peers/0/peerAddress",
			`/peers/1/vm: VM "a" is also peer 0`,
		},
	} {
		t.Run(patch, func(t *testing.T) {
			dir, file := write(t, patch)
			_, err := shsettings.Load(file)
			list, ok := errors.AsType[shsettings.Problems](err)
			assert.Assert(t, ok, "%v", err)
			var got []string
			for _, problem := range list {
				assert.Equal(t, problem.File, file)
				assert.Equal(t, problem.Line, 1)
				problem.File = ""
				got = append(got, strings.ReplaceAll(problem.String(), dir, "DIR"))
			}
			assert.DeepEqual(t, got, want)
		})
	}
}

// TestReadToken guards against tokens that others can read or guess.
func TestReadToken(t *testing.T) {
	dir := t.TempDir()
	for name, c := range map[string]struct {
		data string
		mode os.FileMode
		want string
	}{
		"good":     {" 0123456789abcdef\n", 0o640, ""},
		"world":    {"0123456789abcdef", 0o644, "has mode 0644: it must not be readable by others, for example 0600"},
		"short":    {"0123456789abcde\n", 0o600, "the token has 15 bytes, at least 16 are needed"},
		"lines":    {"0123456789\nabcdef", 0o600, "one line of visible ASCII"},
		"accented": {"0123456789abcdéf", 0o600, "one line of visible ASCII"},
		"large":    {strings.Repeat("x", 1025), 0o600, "larger than 1024 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(dir, name)
			assert.NilError(t, os.WriteFile(file, []byte(c.data), c.mode))
			assert.NilError(t, os.Chmod(file, c.mode))
			token, err := shsettings.ReadToken(file)
			if c.want != "" {
				assert.ErrorContains(t, err, c.want)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, token, "0123456789abcdef")
		})
	}
	_, err := shsettings.ReadToken(dir)
	assert.ErrorContains(t, err, "is not a regular file")
}

func ExampleSettings_Warnings() {
	settings := shsettings.Settings{Peers: []shsettings.Peer{
		{VM: "a", Roles: []shsettings.Role{shsettings.Control, shsettings.Account}, FailureDomain: "x"},
		{VM: "b", Roles: []shsettings.Role{shsettings.Control, shsettings.Account}, FailureDomain: "x"},
	}}
	for _, warning := range settings.Warnings() {
		fmt.Println(warning)
	}
	// Output:
	// peers: 2 control VMs survive no more failures than 1 would; an odd number is better
	// peers: the account VMs are in fewer than two failure domains, so once-only work is refused
}
