package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. Each process has a loopback address of its own.
const (
	frontPort     = 8641
	readinessPort = 8640
	directoryPort = 8642
	controlPort   = 8649
	peerPort      = 7620
	metricsPort   = 9464
)

// Figures of the small sites, leadlight-gslb and huonridge-glb.
const (
	smallGrace       = 6 * time.Second
	heartbeat        = 1500 * time.Millisecond
	edgeMemoryMB     = 284
	coreMemoryMB     = 280
	contact          = 4 * time.Second
	restartDelay     = 500 * time.Millisecond
	operatorPatience = time.Second
)

// zones maps each zone of the deployment to its region.
var zones = map[string]string{"east-a": "east", "east-b": "east", "west-a": "west"}

// zoneOrder lists the zones in the order in which machines are placed.
var zoneOrder = []string{"east-a", "east-b", "west-a"}

// daemon is a process of the project on a machine.
type daemon struct {
	name, role, ip, zone string
	settings, log        string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// fleet is a small deployment: control daemons on core machines and entry daemons
// on edge machines.
type fleet struct {
	run      *run
	folder   string
	grace    time.Duration
	prefix   string
	controls []*daemon
	entries  []*daemon
	stopping chan struct{}
	stopOnce sync.Once
	// starting is held while a process is started. After closed is set none is.
	starting sync.Mutex
	closed   bool
}

// startFleet starts the daemons with the commands of the deploy file.
func (x *run) startFleet(controls, entries int) *fleet {
	folder, err := os.MkdirTemp("", "review-")
	must(err)
	f := &fleet{run: x, folder: folder, grace: smallGrace, stopping: make(chan struct{})}
	x.fleet = f
	f.prefix = freePrefix(controls + entries)
	var seeds []string
	for i := range controls {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", f.prefix, i+1, controlPort))
	}
	for i := range controls + entries {
		d := &daemon{role: "control", ip: fmt.Sprintf("%s%d", f.prefix, i+1), zone: zoneOrder[i%len(zoneOrder)]}
		d.name = fmt.Sprintf("core-%d", i+1)
		if i >= controls {
			d.role, d.name = "entry", fmt.Sprintf("edge-%d", i+1-controls)
		}
		d.settings, d.log = filepath.Join(folder, d.name+".json"), filepath.Join(folder, d.name+".log")
		f.writeSettings(d, seeds)
		if d.role == "control" {
			f.controls = append(f.controls, d)
		} else {
			f.entries = append(f.entries, d)
		}
		must(f.start(d))
		x.say("%s (%s) started at %s", d.name, d.role, d.ip)
	}
	return f
}

// writeSettings writes the settings that deploy/settings.json.tmpl yields.
func (f *fleet) writeSettings(d *daemon, seeds []string) {
	s := map[string]any{
		"vm": d.name, "failureDomain": d.zone, "region": zones[d.zone], "regions": zones, "ip": d.ip,
		"entryAddress": "", "readinessAddress": "", "directoryAddress": "", "controlAddress": "",
		"peerPort": peerPort, "seeds": seeds, "bootstrap": true, "dataFolder": "",
		"tolerateLosses": (len(seeds) - 1) / 2, "heartbeatSeconds": heartbeat.Seconds(), "stopSeconds": f.grace.Seconds(),
		"cacheSeconds": 1, "retryShare": 0.2, "retrySlack": 64, "retryWindowSeconds": 10, "memoryMb": edgeMemoryMB,
	}
	if d.role == "control" {
		data := filepath.Join(f.folder, d.name)
		must(os.Mkdir(data, 0o700))
		s["controlAddress"], s["dataFolder"], s["memoryMb"] = d.address(controlPort), data, coreMemoryMB
	} else {
		s["entryAddress"], s["readinessAddress"] = d.address(frontPort), d.address(readinessPort)
		s["directoryAddress"] = d.address(directoryPort)
	}
	text, err := json.Marshal(s)
	must(err)
	must(os.WriteFile(d.settings, text, 0o600))
}

func (d *daemon) address(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }

// start starts a process unless the run has ended.
func (f *fleet) start(d *daemon) error {
	f.starting.Lock()
	defer f.starting.Unlock()
	if f.closed {
		return errors.New("the run has ended")
	}
	return d.start()
}

func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command("target/sequoiahollow", "platform", d.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SEQUOIAHOLLOW_NODE_FILE=" + d.settings}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.command, d.ended = c, ended
	d.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.command.Process.Signal(s)
}

func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command.Process.Pid
}

func (d *daemon) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}

// terminate sends SIGTERM and, after the grace, SIGKILL.
func (d *daemon) terminate(grace time.Duration) {
	d.signal(syscall.SIGTERM)
	select {
	case <-d.done():
	case <-time.After(grace):
		d.signal(syscall.SIGKILL)
	}
}

// stop ends all processes that the run started. None is started afterwards.
func (f *fleet) stop() {
	f.stopOnce.Do(func() {
		close(f.stopping)
		f.starting.Lock()
		f.closed = true
		f.starting.Unlock()
		for _, d := range append(append([]*daemon{}, f.controls...), f.entries...) {
			if d.command == nil {
				continue
			}
			d.signal(syscall.SIGCONT)
			d.signal(syscall.SIGKILL)
			<-d.done()
		}
		_ = os.RemoveAll(f.folder)
	})
}

// freePrefix returns the first three parts of loopback addresses whose ports are
// free.
func freePrefix(machines int) string {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(180), 1+rand.IntN(250))
		if allFree(prefix, machines) {
			return prefix
		}
	}
	panic(errors.New("no free loopback addresses"))
}

func allFree(prefix string, machines int) bool {
	for i := range machines {
		for _, port := range []int{frontPort, readinessPort, directoryPort, controlPort, peerPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// waitReady waits until all entry daemons are ready, as the platform sees it.
func (f *fleet) waitReady() {
	limit := time.Now().Add(20 * time.Second)
	for _, d := range f.entries {
		for !d.ready() {
			if time.Now().After(limit) {
				panic(fmt.Errorf("%s is not ready after 20 s", d.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.run.say("all entry daemons are ready")
}

func (d *daemon) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + d.address(readinessPort) + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
