package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/internal/shcrowd"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shbackend"
	"sequoiahollow/transport/shloopback"
	"sequoiahollow/transport/shoperator"
)

// The limits of the process in these tests.
const (
	crowdMemoryMB = 128
	crowdFDs      = 300
	crowdBody     = 4 << 20
)

// crowdService is a service of the example configuration.
const crowdService shmodel.Service = "field-sampling-records"

// crowdDaemon is a process with all roles and the limits above, with a backend server
// and another VM for the second copy of account records.
type crowdDaemon struct {
	t        *testing.T
	settings shsettings.Settings
	token    string
	fds      int
	process  *shcrowd.Process
}

func startCrowdDaemon(t *testing.T) *crowdDaemon {
	t.Helper()
	return startCrowdDaemonWith(t, crowdFDs)
}

// startCrowdDaemonWith is startCrowdDaemon with another number of descriptors.
func startCrowdDaemonWith(t *testing.T, fds int) *crowdDaemon {
	t.Helper()
	d := &crowdDaemon{t: t, token: strings.Repeat("t", 32), fds: fds}
	roles := []shsettings.Role{shsettings.Entry, shsettings.Control, shsettings.Account}
	first, second := d.vm("south-a-1", "south-a", roles...), d.vm("south-b-1", "south-b", shsettings.Entry, shsettings.Account)
	connect(&first, &second)
	program := shcrowd.Build(t, "sequoiahollow/cmd/sequoiahollow")
	d.settings, d.process = first, startCrowdVM(t, program, first)
	startCrowdVM(t, program, second)
	d.configure()
	backend, err := shbackend.Start(shbackend.Config{
		BackendServer: "records-1", Service: crowdService, Address: "127.0.0.1:0", Slots: 3, Connections: 360,
		Place: d.settings.Place(), ServiceTime: time.Millisecond, Owners: []string{d.settings.ServerAddress},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = backend.Close() })
	d.serves()
	return d
}

// vm returns the settings of a VM without its peers.
func (d *crowdDaemon) vm(name shmodel.VM, domain shmodel.FailureDomain, roles ...shsettings.Role) shsettings.Settings {
	d.t.Helper()
	folder := d.t.TempDir()
	tokenFile := filepath.Join(folder, "token")
	assert.NilError(d.t, os.WriteFile(tokenFile, []byte(d.token), 0o600))
	address := func() string { return shloopback.Free(d.t) }
	return shsettings.Settings{
		VM: name, Region: "tasmania-south", FailureDomain: domain, Roles: roles, DataFolder: filepath.Join(folder, "data"),
		CallerAddress: address(), ServerAddress: address(), PeerAddress: address(), OperatorAddress: address(),
		OperatorTokenFile: tokenFile, MemoryMB: crowdMemoryMB, MaxFDs: d.fds,
	}
}

// connect makes VMs peers of each other.
func connect(vms ...*shsettings.Settings) {
	for _, s := range vms {
		for _, p := range vms {
			s.Peers = append(s.Peers, shsettings.Peer{
				VM: p.VM, Region: p.Region, FailureDomain: p.FailureDomain, Roles: p.Roles, PeerAddress: p.PeerAddress,
			})
		}
	}
}

func startCrowdVM(t *testing.T, program string, s shsettings.Settings) *shcrowd.Process {
	t.Helper()
	data, err := json.Marshal(s)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	return shcrowd.Start(t, program, nil, "serve", "--settings", file)
}

// configure applies the example configuration with a larger body limit.
func (d *crowdDaemon) configure() {
	d.t.Helper()
	folder, err := shconfig.Load("../../examples/huon-ridge/config")
	assert.NilError(d.t, err)
	service := folder.Config.Services[crowdService]
	service.MaxBodyBytes = crowdBody
	folder.Config.Services[crowdService] = service
	operator := &shoperator.Client{Address: d.settings.OperatorAddress, Token: d.token}
	waitFor(d.t, "configuration accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r, err := operator.Apply(ctx, shcontrol.ApplyConfig{EditID: "first", Config: folder.Config})
		return err == nil && r.Accepted
	})
}

// serves waits until an ordinary request is answered and the status is shown.
func (d *crowdDaemon) serves() {
	d.t.Helper()
	waitFor(d.t, "answer", func() bool {
		r, err := http.NewRequest(http.MethodGet, "http://"+d.settings.CallerAddress+"/plots", strings.NewReader(strings.Repeat("b", 100<<10)))
		assert.NilError(d.t, err)
		r.Header.Set(shwire.HeaderService, string(crowdService))
		client := http.Client{Timeout: 2 * time.Second}
		response, err := client.Do(r)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.Header.Get(shwire.HeaderOutcome) == string(shmodel.Answered)
	})
	operator := &shoperator.Client{Address: d.settings.OperatorAddress, Token: d.token}
	waitFor(d.t, "status", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := operator.Status(ctx)
		return err == nil
	})
}

// Guards against a process that runs out of memory or descriptors, or stops serving,
// because of clients that don't end their requests.
func TestCrowd(t *testing.T) {
	length := fmt.Sprintf("Host: a\r\n%s: %s\r\nContent-Length: %d\r\n", shwire.HeaderService, crowdService, crowdBody)
	chunked := fmt.Sprintf("Host: a\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n", shwire.HeaderService, crowdService)
	description := fmt.Sprintf(`{"request":{"ID":%q},"attempt":1,"uri":"/plots","leftMs":60000}`, shmodel.RequestID(7))
	forward := "Sequoiahollow-Forward: " + base64.StdEncoding.EncodeToString([]byte(description)) + "\r\n"
	slow := "GET / HTTP/1.1\r\nHost: a\r\nX-Filler: " + strings.Repeat("x", 12<<10)
	for name, c := range map[string]struct {
		address func(shsettings.Settings) string
		client  shcrowd.Client
		count   int
	}{
		"bodies with a length":  {callerAddress, shcrowd.Client{Head: "GET /plots HTTP/1.1\r\n" + length + "\r\n", Body: crowdBody - 1}, 64},
		"bodies in chunks":      {callerAddress, shcrowd.Client{Head: "GET /plots HTTP/1.1\r\n" + chunked + "\r\n", Body: crowdBody, Piece: 16 << 10}, 64},
		"slow heads":            {callerAddress, shcrowd.Client{Head: slow}, 600},
		"announcements":         {serverAddress, shcrowd.Client{Head: "POST " + shwire.PathAnnouncements + " HTTP/1.1\r\n" + length + "\r\n", Body: crowdBody - 1}, 64},
		"forwards":              {serverAddress, shcrowd.Client{Head: "POST " + shwire.PathForward + " HTTP/1.1\r\n" + forward + length + "\r\n", Body: crowdBody - 1}, 64},
		"slow heads of servers": {serverAddress, shcrowd.Client{Head: slow}, 600},
		"configurations": {operatorAddress, shcrowd.Client{
			Head: "POST /v1/config HTTP/1.1\r\nAuthorization: Bearer " + strings.Repeat("t", 32) + "\r\nContent-Type: application/json\r\n" + length + "\r\n",
			Body: crowdBody - 1,
		}, 64},
		"slow heads of operators": {operatorAddress, shcrowd.Client{Head: slow}, 600},
	} {
		t.Run(name, func(t *testing.T) {
			d := startCrowdDaemon(t)
			c.client.Address = c.address(d.settings)
			crowd := make([]shcrowd.Client, c.count)
			for i := range crowd {
				crowd[i] = c.client
			}
			shcrowd.Hold(t, crowd)
			d.process.Check(crowdMemoryMB, crowdFDs)
			d.serves()
			d.process.Check(crowdMemoryMB, crowdFDs)
		})
	}
}

func callerAddress(s shsettings.Settings) string   { return s.CallerAddress }
func serverAddress(s shsettings.Settings) string   { return s.ServerAddress }
func operatorAddress(s shsettings.Settings) string { return s.OperatorAddress }

// waitFor waits for a condition. No check of memory depends on the bound.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}
