package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shoperator"
)

const (
	readyTimeout  = 30 * time.Second
	readyInterval = 50 * time.Millisecond
	stopTimeout   = 3 * time.Second
	// backendsPerDomain is the number of backend servers per service and failure
	// domain.
	backendsPerDomain = 2
	// serviceTime is the service time of the stand-in backend servers, as in
	// scripts/demo.sh.
	serviceTime = 5 * time.Millisecond
)

// vm is one daemon.
type vm struct {
	settings shsettings.Settings
	process  *exec.Cmd
	// peerBytes counts the bytes of messages to and from peers and of
	// announcements, without TCP and IP headers.
	peerBytes atomic.Int64
}

// backend is one stand-in backend server. Direct calls go to directAddress, which
// is that of a relay.
type backend struct {
	name          string
	service       shmodel.Service
	place         shmodel.Place
	directAddress string
}

// deployment holds the processes of an example, with relays between them.
type deployment struct {
	example  example
	folder   string
	config   shconfig.Config
	vms      []*vm
	backends []backend
	// byAddress holds the VMs by peer address.
	byAddress map[string]*vm
	processes []*exec.Cmd
}

// token is used only on loopback and only during a run.
const token = "measurement-operator-token-0123456789"

// start starts the processes of an example and waits until every VM has the
// configuration in force.
func start(e example, root, folder string) (*deployment, error) {
	d := &deployment{example: e, folder: folder, byAddress: map[string]*vm{}}
	if err := errors.Join(os.RemoveAll(folder), os.MkdirAll(folder, 0o700)); err != nil {
		return nil, err
	}
	if err := os.WriteFile(d.path("token"), []byte(token), 0o600); err != nil {
		return nil, err
	}
	loaded, err := shconfig.Load(filepath.Join(root, e.folder, "config"))
	if err != nil {
		return nil, err
	}
	d.config = loaded.Config
	files, err := filepath.Glob(filepath.Join(root, e.folder, "settings", "*.json"))
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		if err := d.addVM(file); err != nil {
			return d, err
		}
	}
	if err := d.startRelays(); err != nil {
		return d, err
	}
	for _, v := range d.vms {
		if err := d.startVM(v); err != nil {
			return d, err
		}
	}
	if err := d.startBackends(root); err != nil {
		return d, err
	}
	return d, d.applyConfig()
}

func (d *deployment) path(name string) string { return filepath.Join(d.folder, name) }

// addVM reads a settings file of the example. It replaces the address prefix, so
// that scripts/demo.sh can run at the same time.
func (d *deployment) addVM(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	data = bytes.ReplaceAll(data, []byte(d.example.addressPrefix), []byte(d.example.ownAddressPrefix))
	v := &vm{}
	if err := json.Unmarshal(data, &v.settings); err != nil {
		return err
	}
	v.settings.DataFolder = d.path("data-" + string(v.settings.VM))
	v.settings.OperatorTokenFile = d.path("token")
	d.vms = append(d.vms, v)
	d.byAddress[v.settings.PeerAddress] = v
	return nil
}

// delay returns the one-way delay between two places.
func (d *deployment) delay(from, to shmodel.Place) time.Duration {
	if from == to {
		return 0
	}
	if from.Region == to.Region {
		return milliseconds(d.config.Regions[to.Region].InnerLatencyMS)
	}
	for _, l := range d.config.Links {
		if l.From == from.Region && l.To == to.Region {
			return milliseconds(l.LatencyMS)
		}
	}
	return 0
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func (d *deployment) clientDelay(r shmodel.Region) time.Duration {
	return milliseconds(d.config.Regions[r].ClientLatencyMS)
}

func (d *deployment) startRelays() error {
	for _, v := range d.vms {
		s := v.settings
		for address, findRoute := range map[string]routeFinder{
			s.PeerAddress: d.findPeerRoute(v), s.ServerAddress: d.findServerRoute(v), s.CallerAddress: fixedDelay(d.clientDelay(s.Region)),
		} {
			if _, err := relay(address, findRoute); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *deployment) startVM(v *vm) error {
	data, err := json.Marshal(v.settings)
	if err != nil {
		return err
	}
	file := d.path(string(v.settings.VM) + ".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	v.process, err = d.startProcess(string(v.settings.VM), os.Args[0], "daemon", "--settings", file)
	return err
}

// startProcess starts a process whose output goes to a file.
func (d *deployment) startProcess(name, program string, arguments ...string) (*exec.Cmd, error) {
	log, err := os.Create(d.path(name + ".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(program, arguments...)
	c.Stdout, c.Stderr = log, log
	// The process is killed when shbench ends, however that ends. After SIGTERM,
	// a daemon would run for up to 90 s more, because no account VM is left that
	// it can copy its records to.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	d.processes = append(d.processes, c)
	return c, nil
}

// startBackends starts backend servers of both services in every failure
// domain. The first owner of each is a VM in the same failure domain.
func (d *deployment) startBackends(root string) error {
	seen := map[shmodel.Place]bool{}
	for _, v := range d.vms {
		place := v.settings.Place()
		if seen[place] {
			continue
		}
		seen[place] = true
		for i, service := range []shmodel.Service{d.example.idempotent, d.example.onceOnly} {
			for n := range backendsPerDomain {
				host := fmt.Sprintf("%s%d.%d", d.example.backendAddressPrefix, len(seen), 1+i*backendsPerDomain+n)
				b := backend{
					name: fmt.Sprintf("%s-%s-%d", service, place.FailureDomain, n), service: service, place: place, directAddress: host + ":8000",
				}
				if err := d.startBackend(root, b, v); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (d *deployment) startBackend(root string, b backend, owner *vm) error {
	if _, err := relay(b.directAddress, fixedDelay(d.clientDelay(b.place.Region))); err != nil {
		return err
	}
	owners := []string{owner.settings.ServerAddress}
	for _, v := range d.vms {
		if v != owner && v.settings.Region == b.place.Region {
			owners = append(owners, v.settings.ServerAddress)
		}
	}
	size := d.config.Services[b.service].Size
	d.backends = append(d.backends, b)
	_, err := d.startProcess(b.name, filepath.Join(root, "bin", "shbackend"), "--name", b.name, "--service", string(b.service),
		"--region", string(b.place.Region), "--failure-domain", string(b.place.FailureDomain),
		"--address", behindRelay(b.directAddress), "--owners", strings.Join(owners, ","),
		"--slots", fmt.Sprint(size.Slots), "--connections", fmt.Sprint(size.Connections), "--service-time", serviceTime.String())
	return err
}

// applyConfig applies the configuration of the example and waits until it is in
// force at every VM.
func (d *deployment) applyConfig() error {
	return retryUntilReady("configuration in force", func(ctx context.Context) error {
		o := d.operator()
		if s, err := o.Status(ctx); err == nil && d.inForce(s) {
			return nil
		}
		current, err := o.Config(ctx)
		if err != nil {
			return err
		}
		if current.Revision == 0 {
			_, err = o.Apply(ctx, shcontrol.ApplyConfig{EditID: "measurement", Config: d.config})
		}
		return errors.Join(err, errors.New("not in force everywhere"))
	})
}

func (d *deployment) inForce(s shoperator.Status) bool {
	count := 0
	for _, x := range s.Daemons {
		if x.Revision > 0 {
			count++
		}
	}
	return count == len(d.vms)
}

func (d *deployment) operator() *shoperator.Client {
	return &shoperator.Client{Address: d.vms[0].settings.OperatorAddress, Token: token, RetryPause: readyInterval}
}

// leader returns the control VM that is the leader, or "" if it is not known.
func (d *deployment) leader() shmodel.VM {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	s, err := d.operator().Status(ctx)
	if err != nil {
		return ""
	}
	for _, x := range s.Daemons {
		if x.Leader {
			return x.VM
		}
	}
	return ""
}

// retryUntilReady repeats f until it succeeds or readyTimeout has passed.
func retryUntilReady(what string, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for {
		attempt, done := context.WithTimeout(ctx, 2*time.Second)
		err := f(attempt)
		done()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("timed out after %v waiting for %s: %w", readyTimeout, what, err)
		}
		time.Sleep(readyInterval)
	}
}

// stop ends the processes that were started, with SIGKILL if they do not exit
// within stopTimeout.
func (d *deployment) stop() {
	for _, c := range d.processes {
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	for _, c := range d.processes {
		killTimer := time.AfterFunc(stopTimeout, func() { _ = c.Process.Kill() })
		_ = c.Wait()
		killTimer.Stop()
	}
}
