// Package examples_test checks the example deployments against the sizes in
// docs/design.md.
package examples_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shsettings"
)

// deployment holds the values of docs/design.md for a deployment. Latencies are
// in milliseconds; sizes are the backend servers and slots of each service.
type deployment struct {
	objective                    shconfig.Objective
	regionLatency, clientLatency float64
	capBitsPerSecond             int64
	connections                  int
	regions                      []shmodel.Region
	sizes                        map[shmodel.Service][2]int
	onceOnly                     []string
}

var deployments = map[string]deployment{
	"huon-ridge": {
		objective: shconfig.Headroom, regionLatency: 12, clientLatency: 8, capBitsPerSecond: 280_000_000, connections: 360,
		regions: []shmodel.Region{"tasmania-south", "tasmania-north", "victoria"},
		sizes: map[shmodel.Service][2]int{
			"field-sampling-records": {16, 3}, "audit-lodgement": {12, 3},
			"issuance-payments-ledger": {12, 3}, "methodology-library": {12, 3},
		},
		onceOnly: []string{
			"audit-lodgement /lodgements", "issuance-payments-ledger /issuances", "issuance-payments-ledger /payments",
		},
	},
	"leadlight": {
		objective: shconfig.Latency, regionLatency: 35, clientLatency: 3, capBitsPerSecond: 4_000_000_000, connections: 390,
		regions: []shmodel.Region{"massachusetts", "vermont", "connecticut"},
		sizes: map[shmodel.Service][2]int{
			"proof-viewing": {18, 9}, "deposits": {12, 8}, "glass-ordering": {12, 3}, "kiln-board": {12, 3},
		},
		onceOnly: []string{"deposits /deposits", "glass-ordering /orders"},
	},
}

// TestConfigs guards against example configurations that are invalid or differ
// from docs/design.md.
func TestConfigs(t *testing.T) {
	for name, want := range deployments {
		t.Run(name, func(t *testing.T) {
			folder, err := shconfig.Load(filepath.Join(name, "config"))
			assert.NilError(t, err)
			assert.Equal(t, len(folder.Notices), 0, "%v", folder.Notices)
			c := folder.Config
			assert.Equal(t, c.Objective, want.objective)
			assert.Equal(t, len(c.Regions), len(want.regions))
			for _, region := range want.regions {
				assert.Equal(t, len(c.Regions[region].FailureDomains), 2)
				assert.Equal(t, c.Regions[region].ClientLatencyMS, want.clientLatency)
				assert.Equal(t, c.Regions[region].InnerLatencyMS, 1.5)
			}
			assert.Equal(t, len(c.Links), 6)
			for _, link := range c.Links {
				assert.Equal(t, link.CapBitsPerSecond, want.capBitsPerSecond)
				assert.Equal(t, link.LatencyMS, want.regionLatency)
			}
			assert.Equal(t, len(c.Services), len(want.sizes))
			for service, size := range want.sizes {
				assert.Equal(t, c.Services[service].Size,
					shconfig.Size{BackendServers: size[0], Slots: size[1], Connections: want.connections})
			}
			checkKinds(t, c, want)
		})
	}
}

func checkKinds(t *testing.T, c shconfig.Config, want deployment) {
	t.Helper()
	compiled, err := shconfig.Compile(c)
	assert.NilError(t, err)
	var onceOnly []string
	for name, service := range c.Services {
		s := compiled.Find("", service.Hosts[0])
		assert.Equal(t, s.Name, name)
		assert.Equal(t, s.Kind("GET", "/any/path"), shmodel.Idempotent)
		for _, operation := range service.Operations {
			if operation.Kind == shmodel.OnceOnly {
				assert.Equal(t, s.Kind("POST", operation.Path), shmodel.OnceOnly)
				onceOnly = append(onceOnly, string(name)+" "+operation.Path)
			}
		}
	}
	slices.Sort(onceOnly)
	assert.DeepEqual(t, onceOnly, want.onceOnly)
}

// TestSettings guards against example VMs that cannot start, share an address or
// have different lists of peers, and against a distribution of the five control
// VMs in which the loss of one region loses the quorum.
func TestSettings(t *testing.T) {
	root, err := os.Getwd()
	assert.NilError(t, err)
	addresses := map[string]string{}
	for name, want := range deployments {
		t.Run(name, func(t *testing.T) {
			folder, err := shconfig.Load(filepath.Join(root, name, "config"))
			assert.NilError(t, err)
			files, err := filepath.Glob(filepath.Join(root, name, "settings", "*.json"))
			assert.NilError(t, err)
			assert.Equal(t, len(files), 7)
			inTokenFolder(t, name)
			voters := map[shmodel.Region]int{}
			var peers []shsettings.Peer
			for _, file := range files {
				s, err := shsettings.Load(file)
				assert.NilError(t, err)
				assert.Equal(t, len(s.Warnings()), 0)
				assert.Equal(t, string(s.VM)+".json", filepath.Base(file))
				assert.Assert(t, slices.Contains(folder.Config.Regions[s.Region].FailureDomains, s.FailureDomain))
				assert.Assert(t, s.Has(shsettings.Entry))
				if s.Has(shsettings.Control) {
					voters[s.Region]++
				}
				assert.Assert(t, s.Has(shsettings.Control) == s.Has(shsettings.Account))
				if peers == nil {
					peers = s.Peers
				}
				assert.DeepEqual(t, s.Peers, peers)
				checkAddresses(t, folder.Config, want, s, addresses)
			}
			assert.DeepEqual(t, []int{voters[want.regions[0]], voters[want.regions[1]], voters[want.regions[2]]}, []int{2, 2, 1})
		})
	}
}

// inTokenFolder changes to a temporary folder with a token file as the settings
// of the example expect it. The repository has no token file.
func inTokenFolder(t *testing.T, name string) {
	t.Helper()
	t.Chdir(t.TempDir())
	folder := filepath.Join("demo-data", name)
	assert.NilError(t, os.MkdirAll(folder, 0o700))
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "operator-token"), []byte("an-example-token-of-32-characters"), 0o600))
}

// checkAddresses checks that addresses are loopback and distinct over all
// examples, that the last digit of the second octet is the number of the region,
// and that the third octet is the number of the failure domain.
func checkAddresses(
	t *testing.T, c shconfig.Config, want deployment, s shsettings.Settings, taken map[string]string,
) {
	t.Helper()
	region := slices.Index(want.regions, s.Region) + 1
	domain := slices.Index(c.Regions[s.Region].FailureDomains, s.FailureDomain) + 1
	for _, text := range []string{s.CallerAddress, s.ServerAddress, s.PeerAddress, s.OperatorAddress} {
		address, err := netip.ParseAddrPort(text)
		assert.NilError(t, err)
		octets := address.Addr().As4()
		assert.Equal(t, octets[0], byte(127))
		assert.Equal(t, fmt.Sprint(octets[1]%10, octets[2]), fmt.Sprint(region, domain), "%s of %s", text, s.VM)
		assert.Equal(t, taken[text], "", "%s of %s", text, s.VM)
		taken[text] = string(s.VM)
	}
}
