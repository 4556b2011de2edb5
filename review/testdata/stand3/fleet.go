package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the small deployment, as in its settings file.
const (
	heartbeat     = 1500 * time.Millisecond
	graceSeconds  = 6
	startTimeout  = 20 * time.Second
	operatorRetry = 100 * time.Millisecond
	operatorCall  = time.Second
	metricsPort   = 9464
	program       = "target/sequoiahollow"
)

// zones maps the zones of the deployment to their regions.
var zones = map[string]string{
	"hobart-a": "tas-south", "hobart-b": "tas-south",
	"launceston-a": "tas-north", "launceston-b": "tas-north",
	"melbourne-a": "vic-mainland", "melbourne-b": "vic-mainland",
}

// machine is one machine with one process of the project.
type machine struct {
	name, role, zone, ip string
	settings             string
	log                  *os.File
	command              *exec.Cmd
	done                 chan struct{}
}

// fleet is a running small deployment on loopback addresses.
type fleet struct {
	folder   string
	net      string // the first three bytes of all addresses
	controls []*machine
	entries  []*machine
	ports    map[string]int
	seeds    []string

	mu      sync.Mutex
	started []*machine
	stopped bool
}

// running is the deployment of this process, which main stops if the case takes too long.
var running atomic.Pointer[fleet]

// newFleet prepares five core and some edge machines.
func newFleet(edgeZones ...string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, ports: map[string]int{}}
	if err := f.findPorts(); err != nil {
		return nil, err
	}
	for i, zone := range []string{"hobart-a", "launceston-a", "melbourne-a", "hobart-b", "launceston-b"} {
		f.controls = append(f.controls, &machine{name: fmt.Sprintf("core-%s-%d", zone, i+1), role: "control", zone: zone, ip: fmt.Sprintf("%s.%d", f.net, 11+i)})
	}
	for i, zone := range edgeZones {
		f.entries = append(f.entries, &machine{name: fmt.Sprintf("edge-%s-%d", zone, i+1), role: "entry", zone: zone, ip: fmt.Sprintf("%s.%d", f.net, 101+i)})
	}
	for _, m := range f.controls[:3] {
		f.seeds = append(f.seeds, f.address(m, "control"))
	}
	running.Store(f)
	return f, nil
}

// findPorts picks a range of loopback addresses on which the fixed port of the metrics is
// free, and free ports for the rest.
func (f *fleet) findPorts() error {
	for range 50 {
		f.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if !f.isFree(metricsPort) {
			continue
		}
		for _, name := range []string{"entry", "readiness", "directory", "control", "peer"} {
			l, err := net.Listen("tcp", f.net+".250:0")
			if err != nil {
				return err
			}
			defer l.Close() // at the end, so that no port is chosen twice
			f.ports[name] = l.Addr().(*net.TCPAddr).Port
		}
		return nil
	}
	return fmt.Errorf("no free range of loopback addresses")
}

func (f *fleet) isFree(port int) bool {
	for _, last := range []int{11, 12, 13, 14, 15, 101, 102, 103, 250} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", f.net, last, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (f *fleet) address(m *machine, port string) string {
	return fmt.Sprintf("%s:%d", m.ip, f.ports[port])
}

// start starts all machines.
func (f *fleet) start() error {
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		if err := f.startMachine(m, true); err != nil {
			return err
		}
	}
	return nil
}

// startMachine writes the settings of a machine, in the form of the template of the deploy
// file, and starts its process.
func (f *fleet) startMachine(m *machine, bootstrap bool) error {
	s := map[string]any{
		"vm": m.name, "failureDomain": m.zone, "region": zones[m.zone], "regions": zones, "ip": m.ip,
		"entryAddress": "", "readinessAddress": "", "directoryAddress": "", "controlAddress": "",
		"peerPort": f.ports["peer"], "seeds": f.seeds, "bootstrap": bootstrap, "dataFolder": "",
		"tolerateLosses": 2, "heartbeatSeconds": heartbeat.Seconds(), "stopSeconds": graceSeconds, "cacheSeconds": 1,
		"shareLoad": true, "retryShare": 0.2, "retrySlack": 60, "retryWindowSeconds": 10, "revokeSeconds": 0,
		"quotaWindowSeconds": 0, "quotaOver": 0, "quotaSlack": 0, "linkMbps": 1000.0, "memoryMb": 284, "diskMb": 0, "maxFds": 4100,
	}
	if m.role == "control" {
		data := filepath.Join(f.folder, m.name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		s["controlAddress"], s["dataFolder"], s["memoryMb"], s["diskMb"], s["maxFds"] = f.address(m, "control"), data, 280, 256, 4096
	} else {
		s["entryAddress"], s["readinessAddress"], s["directoryAddress"] = f.address(m, "entry"), f.address(m, "readiness"), f.address(m, "directory")
	}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	m.settings = filepath.Join(f.folder, m.name+".json")
	if err := os.WriteFile(m.settings, text, 0o600); err != nil {
		return err
	}
	if m.log, err = os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	m.command = exec.Command(program, "platform", m.role)
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "SEQUOIAHOLLOW_NODE_FILE=" + m.settings}
	m.command.Stdout, m.command.Stderr = m.log, m.log
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return errors.New("the deployment has been stopped")
	}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.done = make(chan struct{})
	f.started = append(f.started, m)
	go func() {
		_ = m.command.Wait()
		close(m.done)
	}()
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) error { return m.command.Process.Signal(s) }

// stop ends all processes and removes the folder.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for _, m := range f.started {
		_ = m.signal(syscall.SIGCONT)
		_ = m.command.Process.Kill()
	}
	for _, m := range f.started {
		<-m.done
		_ = m.log.Close()
	}
	f.started = nil
	_ = os.RemoveAll(f.folder)
}

// answer is the answer to a call of the operator or a backend server. Status is 0 without
// one.
type answer struct {
	status int
	body   string
	err    error
}

// call makes one call to the system's own interface.
func call(method, address, path, body string, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, body: string(text)}
}

// order sends an order of the operator until it is acknowledged, first to the machine at
// index first, then to the others in turn. It returns the index that acknowledged it.
func (f *fleet) order(first int, method, path, body string) (int, error) {
	deadline := time.Now().Add(startTimeout)
	var last answer
	for i := first; time.Now().Before(deadline); i++ {
		m := f.controls[i%len(f.controls)]
		last = call(method, f.address(m, "control"), path, body, operatorCall)
		switch {
		case last.status == http.StatusOK:
			return i % len(f.controls), nil
		case last.status >= 400 && last.status < 500 && last.status != 408 && last.status != 429:
			return 0, fmt.Errorf("%s %s: status %d", method, path, last.status)
		}
		time.Sleep(operatorRetry)
	}
	return 0, fmt.Errorf("%s %s: no acknowledgement: %+v", method, path, last)
}

// awaitReady waits until all entry machines say that they are ready.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range f.entries {
		for call("GET", f.address(m, "readiness"), "/ready", "", time.Second).status != http.StatusOK {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// record writes what happened to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, began: time.Now()}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
