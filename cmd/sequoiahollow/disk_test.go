package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/internal/shcrowd"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shbackend"
	"sequoiahollow/transport/shoperator"
)

// ackTime is the time within which control VMs in touch acknowledge a change.
const ackTime = 4 * time.Second

// startDaemons starts three processes with all roles, and a backend server.
func startDaemons(t *testing.T) []*crowdDaemon {
	t.Helper()
	program := shcrowd.Build(t, "sequoiahollow/cmd/sequoiahollow")
	vms := make([]*crowdDaemon, 3)
	settings := make([]*shsettings.Settings, len(vms))
	for i := range vms {
		vms[i] = &crowdDaemon{t: t, token: strings.Repeat("t", 32), fds: crowdFDs}
		domain := shmodel.FailureDomain([]string{"south-a", "south-b"}[i%2])
		vms[i].settings = vms[i].vm(shmodel.VM(fmt.Sprint("vm-", i)), domain, shsettings.Entry, shsettings.Control, shsettings.Account)
		settings[i] = &vms[i].settings
	}
	connect(settings...)
	var owners []string
	for _, d := range vms {
		d.process = startCrowdVM(t, program, d.settings)
		owners = append(owners, d.settings.ServerAddress)
	}
	vms[0].configure()
	backend, err := shbackend.Start(shbackend.Config{
		BackendServer: "records-1", Service: crowdService, Address: "127.0.0.1:0", Slots: 10, Connections: 360,
		Place: vms[0].settings.Place(), ServiceTime: 300 * time.Millisecond, Owners: owners,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = backend.Close() })
	return vms
}

// change makes an edit that changes nothing and sends it until it is acknowledged, which must
// take less than limit.
func (d *crowdDaemon) change(id string, limit time.Duration) error {
	operator := &shoperator.Client{Address: d.settings.OperatorAddress, Token: d.token}
	var edit *shcontrol.ApplyConfig
	step := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if edit == nil {
			current, err := operator.Config(ctx)
			if err != nil {
				return err
			}
			edit = &shcontrol.ApplyConfig{EditID: id, BaseRevision: current.Revision, Config: current.Config}
		}
		r, err := operator.Apply(ctx, *edit)
		if err == nil && !r.Accepted {
			err = fmt.Errorf("edit on revision %d refused, %d is in force", edit.BaseRevision, r.Revision)
		}
		return err
	}
	err := step()
	for end := time.Now().Add(limit); err != nil && time.Now().Before(end); err = step() {
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("not acknowledged within %s: %w", limit, err)
	}
	return nil
}

// use sends requests until done is closed, and checks that each gets an answer.
func (d *crowdDaemon) use(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		r, err := http.NewRequest(http.MethodPost, "http://"+d.settings.CallerAddress+"/plots", strings.NewReader("b"))
		if err != nil {
			d.t.Error(err)
			return
		}
		r.Header.Set(shwire.HeaderService, string(crowdService))
		response, err := (&http.Client{Timeout: testTimeout}).Do(r)
		if err != nil {
			d.t.Errorf("%s: %v", d.settings.VM, err)
			return
		}
		response.Body.Close()
	}
}

// testTimeout bounds the waits of a test that fails.
const testTimeout = 20 * time.Second

// Guards against a process that ends because its disk is full for some seconds, and with it
// the requests of its callers, and against control VMs that hold up all changes afterwards.
func TestFullDisks(t *testing.T) {
	vms := startDaemons(t)
	for i, d := range vms {
		d.serves()
		assert.NilError(t, d.change(fmt.Sprint("before ", i), testTimeout))
	}
	done := make(chan struct{})
	var others sync.WaitGroup
	for _, d := range vms {
		others.Go(func() { d.use(done) })
	}
	for round := range 2 {
		for i, d := range vms {
			d.process.FillDisk(true)
			other := vms[(i+1)%len(vms)]
			if err := other.change(fmt.Sprint("meanwhile ", round, " ", i), testTimeout); err != nil {
				t.Errorf("while the disk of %s is full: %v", d.settings.VM, err)
			}
			time.Sleep(2 * time.Second)
			d.process.FillDisk(false)
			time.Sleep(200 * time.Millisecond)
			d.process.Check(crowdMemoryMB, crowdFDs)
		}
	}
	time.Sleep(ackTime)
	for i, d := range append(vms, vms...) {
		assert.NilError(t, d.change(fmt.Sprint("after ", i), ackTime))
	}
	close(done)
	others.Wait()
	for _, d := range vms {
		d.serves()
		d.process.Check(crowdMemoryMB, crowdFDs)
	}
}
