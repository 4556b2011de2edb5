package shconfig_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

// valid holds the files of a valid folder. Test cases change one thing in it.
var valid = map[string]string{
	"10-base.json": `{
  "objective": "headroom",
  "regions": {
    "north": {"failureDomains": ["n1", "n2"]},
    "south": {"failureDomains": ["s1"]}
  }
}`,
	"20-links.json": `{
  "links": {
    "north-south": {"from": "north", "to": "south", "capBitsPerSecond": 1000, "controlBitsPerSecond": 100}
  }
}`,
	"30-ledger.json": `{
  "services": {
    "ledger": {
      "hosts": ["ledger.example"],
      "default": "once-only",
      "operations": [{"method": "GET", "path": "/", "kind": "idempotent"}],
      "defaultTimeoutMs": 2000,
      "serviceLevel": {"goodShare": 0.99, "latencyMs": 500}
    }
  }
}`,
}

// folder writes a folder with the valid files, and with those in changed, which
// replace files or are added.
func folder(t *testing.T, changed map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for _, files := range []map[string]string{valid, changed} {
		for name, data := range files {
			assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600))
		}
	}
	return dir
}

func problems(t *testing.T, err error) []string {
	t.Helper()
	failure, ok := errors.AsType[*shconfig.Error](err)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, failure.Kind, shconfig.Invalid)
	list, ok := errors.AsType[shconfig.Problems](err)
	assert.Assert(t, ok)
	var lines []string
	for _, problem := range list {
		lines = append(lines, problem.String())
	}
	return lines
}

// TestLoadFaults guards against mistakes that are accepted, reported at the
// wrong place or hidden by another mistake. Each case adds a file 90.json.
func TestLoadFaults(t *testing.T) {
	for name, c := range map[string]struct {
		data string
		want []string
	}{
		"syntax": {"{\n\"links\": ,}", []string{`90.json:2: invalid character ',' looking for beginning of value`}},
		"unknown field, wrong type and duplicate": {
			"{\"linkz\": 1,\n\"links\": {\"l\": {\"from\": 1}},\n\"linkz\": 2}",
			[]string{
				"90.json:1: /linkz: unknown field",
				"90.json:2: /links/l/capBitsPerSecond: must be positive, got 0",
				"90.json:2: /links/l/from: want a string, got the number 1",
				"90.json:2: /links/l/to: missing",
				"90.json:3: /linkz: duplicate key, first at line 1",
			},
		},
		"not an object": {"[]", []string{"90.json:1: want an object, got a list"}},
		"objective": {
			`{"objective": "speed"}`,
			[]string{`90.json:1: /objective: want "headroom" or "latency", got "speed"`},
		},
		"objective removed": {
			`{"objective": null}`,
			[]string{`folder: /objective: missing; want "headroom" or "latency"`},
		},
		"region names and failure domains": {
			`{"regions": {"East_1": {"failureDomains": []}, "south": {"failureDomains": ["s1", "s1"], "clientLatencyMs": -1}}}`,
			[]string{
				`90.json:1: /regions/East_1: name "East_1" must consist of lower-case letters, digits and inner hyphens`,
				`90.json:1: /regions/East_1/failureDomains: at least one failure domain is needed`,
				`90.json:1: /regions/south/clientLatencyMs: want 0 to 10000, got -1`,
				`90.json:1: /regions/south/failureDomains/1: failure domain "s1" is listed twice`,
			},
		},
		"link to a removed region": {
			`{"regions": {"south": null}}`,
			[]string{`20-links.json:3: /links/north-south/to: region "south" does not exist`},
		},
		"link to itself": {
			`{"links": {"north-south": {"to": "north"}}}`,
			[]string{`90.json:1: /links/north-south/to: from and to are both "north"`},
		},
		"second link of a pair": {
			`{"links": {"other": {"from": "north", "to": "south", "capBitsPerSecond": 5, "controlBitsPerSecond": 0}}}`,
			[]string{`90.json:1: /links/other: link "north-south" has the same regions: from "north" to "south"`},
		},
		"cap and control": {
			`{"links": {"north-south": {"capBitsPerSecond": 0, "controlBitsPerSecond": -1}}}`,
			[]string{
				"90.json:1: /links/north-south/capBitsPerSecond: must be positive, got 0",
				"90.json:1: /links/north-south/controlBitsPerSecond: must not be negative, got -1",
			},
		},
		"control equal to cap": {
			`{"links": {"north-south": {"controlBitsPerSecond": 1000}}}`,
			[]string{"90.json:1: /links/north-south/controlBitsPerSecond: must be less than the cap of 1000, got 1000"},
		},
		"service": {
			`{"services": {"s": {"hosts": ["ledger.example", "A:80"], "maxBodyBytes": -1, "serviceLevel": {"goodShare": 1.2}, "size": {"slots": 3}}}}`,
			[]string{
				`90.json:1: /services/s/default: missing; want "idempotent" or "once-only"`,
				`90.json:1: /services/s/defaultTimeoutMs: want 1 to 3600000, got 0`,
				`90.json:1: /services/s/hosts/0: host "ledger.example" already belongs to service "ledger"`,
				`90.json:1: /services/s/hosts/1: host "A:80" must be lower case, without port or trailing dot: ` +
					`name "A:80" must consist of lower-case letters, digits and inner hyphens`,
				`90.json:1: /services/s/maxBodyBytes: want 0 to 67108864, got -1`,
				`90.json:1: /services/s/serviceLevel/goodShare: want 0 to 1, got 1.2`,
				`90.json:1: /services/s/serviceLevel/latencyMs: want 1 to 3600000, got 0`,
				`90.json:1: /services/s/size/backendServers: want 1 to 1000000, got 0`,
				`90.json:1: /services/s/size/connections: want 1 to 1000000, got 0`,
			},
		},
		"no services": {`{"services": null}`, []string{"folder: /services: at least one service is needed"}},
		"limits": {
			`{"limits": {"retryShare": 1.5, "crashLimit": 0, "clockErrorMs": 3600000, "reserveShare": 1}}`,
			[]string{
				"90.json:1: /limits/clockErrorMs: want 0 to 10000, got 3600000",
				"90.json:1: /limits/crashLimit: must be positive; remove the field to select the default",
				"90.json:1: /limits/reserveShare: want 0 to 0.9, got 1",
				"90.json:1: /limits/retryShare: want 0 to 1, got 1.5",
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := folder(t, map[string]string{"90.json": c.data})
			_, err := shconfig.Load(dir)
			got := problems(t, err)
			for i := range got {
				got[i] = strings.Replace(got[i], dir, "folder", 1)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestOperationFaults guards against operations that net/http would reject or
// that never match.
func TestOperationFaults(t *testing.T) {
	for operation, want := range map[string]string{
		`{"method": "get", "path": "/", "kind": "once-only"}`:        `/method: want a method in upper case, got "get"`,
		`{"path": "/", "kind": "once-only"}`:                         `/method: want a method in upper case, got ""`,
		`{"method": "PUT", "path": "", "kind": "once-only"}`:         `/path: path pattern "" must start with a slash`,
		`{"method": "PUT", "path": "a/b", "kind": "once-only"}`:      `/path: path pattern "a/b" must start with a slash`,
		`{"method": "PUT", "path": "/a//b", "kind": "once-only"}`:    `must not contain empty, . or .. segments`,
		`{"method": "PUT", "path": "/{a}{b}", "kind": "once-only"}`:  `bad wildcard name`,
		`{"method": "PUT", "path": "/{a}/{a}", "kind": "once-only"}`: `duplicate wildcard name`,
		`{"method": "PUT", "path": "/{$}/b", "kind": "once-only"}`:   `{$} not at end`,
		`{"method": "PUT", "path": "/b", "kind": "twice"}`:           `/kind: want "idempotent" or "once-only", got "twice"`,
		`{"method": "GET", "path": "/", "kind": "once-only"},
		 {"method": "GET", "path": "/", "kind": "idempotent"}`: `never matches: operation 0 has the same method and path`,
	} {
		t.Run(operation, func(t *testing.T) {
			data := `{"services": {"ledger": {"operations": [` + operation + `]}}}`
			_, err := shconfig.Load(folder(t, map[string]string{"90.json": data}))
			assert.Equal(t, len(problems(t, err)), 1)
			assert.ErrorContains(t, err, want)
		})
	}
}

// TestLoadMerge guards against files that are merged in another order than that
// of their names, lists that are concatenated, and removals that are ignored.
func TestLoadMerge(t *testing.T) {
	loaded, err := shconfig.Load(folder(t, map[string]string{
		"40.json":      `{"limits": {"crashLimit": 3, "claimHours": 48}, "links": {"north-south": {"capBitsPerSecond": 7000}}}`,
		"9-later.json": `{"limits": {"crashLimit": 5, "claimHours": null}, "regions": {"north": {"failureDomains": ["n3"]}}}`,
		"notes.txt":    "not merged",
		".hidden.json": "not merged",
	}))
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded.Files, []string{"10-base.json", "20-links.json", "30-ledger.json", "40.json", "9-later.json"})
	assert.DeepEqual(t, loaded.Notices, []string{
		".hidden.json: ignored, the name starts with a dot",
		"notes.txt: ignored, the name does not end in .json",
		"no link from south to north: no traffic shifts that way",
	})
	c := loaded.Config
	assert.Equal(t, c.Limits.CrashLimit, 5)
	assert.Equal(t, c.Limits.ClaimHours, 0)
	assert.DeepEqual(t, c.Regions["north"].FailureDomains, []shmodel.FailureDomain{"n3"})
	assert.Equal(t, c.Links["north-south"].CapBitsPerSecond, int64(7000))
	assert.Equal(t, c.Links["north-south"].ControlBitsPerSecond, int64(100))
}

// TestLoadEmpty guards against a mistyped folder name that would be read as a
// configuration without services.
func TestLoadEmpty(t *testing.T) {
	dir := t.TempDir()
	_, err := shconfig.Load(dir)
	assert.DeepEqual(t, problems(t, err), []string{dir + ": no .json file in the folder"})
	_, err = shconfig.Load(filepath.Join(dir, "absent"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// TestDefaults guards against defaults that differ from the documented ones.
func TestDefaults(t *testing.T) {
	assert.DeepEqual(t, shconfig.Limits{}.WithDefaults(shconfig.Headroom), shconfig.Limits{
		LookupCacheMS: 5000, CrashLimit: 2, RetryShare: 0.10, ReserveShare: 0.20, ClaimHours: 24, ClockErrorMS: 500,
	})
	latency := shconfig.Limits{}.WithDefaults(shconfig.Latency)
	assert.Equal(t, latency.HedgeShare, 0.05)
	assert.Equal(t, latency.ReserveShare, 0.10)
	set := shconfig.Limits{LookupCacheMS: 1, CrashLimit: 1, RetryShare: 1, HedgeShare: 1, ReserveShare: 1, ClaimHours: 1, ClockErrorMS: 1}
	assert.DeepEqual(t, set.WithDefaults(shconfig.Latency), set)
}
