package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shsettings"
)

// Ports of each machine. All machines have the same ports on different addresses.
const (
	frontPort     = 8641
	readinessPort = 8640
	directoryPort = 8644
	controlPort   = 8649
	peerPort      = 7620
	metricsPort   = 9464
)

// The zones of Huon Ridge, in the order in which machines are placed.
var zones = []string{"hobart-a", "launceston-a", "melbourne-a", "hobart-b", "launceston-b", "melbourne-b"}

var regionOf = map[string]string{
	"hobart-a": "tas-south", "hobart-b": "tas-south",
	"launceston-a": "tas-north", "launceston-b": "tas-north",
	"melbourne-a": "vic-mainland", "melbourne-b": "vic-mainland",
}

// Bounds of the Huon Ridge sheet in SYSTEM.md.
const (
	heartbeat  = 1500 * time.Millisecond
	graceS     = 6.0
	contactS   = 3 * time.Second
	evacuateS  = 5 * time.Second
	coldOver   = 1.5
	coldSlack  = 5.0
	callerWait = time.Second
)

// machine is a machine with one process of the system.
type machine struct {
	name, role, zone, ip string
	settings             string
	// operatorLink is the way of the operator to a control VM, nil if it is direct.
	operatorLink *link
	process      *exec.Cmd
	ended        chan struct{}
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, fmt.Sprint(port)) }

// fleet is a running deployment.
type fleet struct {
	record   *record
	folder   string
	program  string
	block    string
	next     int
	controls []*machine
	entries  []*machine
}

// newFleet prepares a deployment with one entry VM for each of the zones, and five
// control VMs. It uses a free block of loopback addresses.
func newFleet(r *record, entryZones []string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "sequoiahollow-review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/sequoiahollow")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, program: program, next: 1}
	if f.block, err = freeBlock(); err != nil {
		return nil, err
	}
	for i, zone := range zones[:5] {
		f.controls = append(f.controls, f.newMachine(fmt.Sprintf("core-%s-%d", zone, i), "control", zone))
	}
	for i, zone := range entryZones {
		f.entries = append(f.entries, f.newMachine(fmt.Sprintf("edge-%s-%d", zone, i), "entry", zone))
	}
	return f, nil
}

// freeBlock returns the first three bytes of a block of loopback addresses whose ports
// are free.
func freeBlock() (string, error) {
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if blockIsFree(block) {
			return block, nil
		}
	}
	return "", fmt.Errorf("no free block of loopback addresses")
}

func blockIsFree(block string) bool {
	for host := 1; host <= 20; host++ {
		for _, port := range []int{frontPort, readinessPort, directoryPort, controlPort, peerPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", block, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) newAddress() string {
	f.next++
	return fmt.Sprintf("%s.%d", f.block, f.next-1)
}

func (f *fleet) newMachine(name, role, zone string) *machine {
	return &machine{name: name, role: role, zone: zone, ip: f.newAddress(), settings: filepath.Join(f.folder, name+".json")}
}

// writeSettings writes what deploy/settings.json.tmpl makes of the platform's settings
// for a machine of the small deployment.
func (f *fleet) writeSettings(m *machine) error {
	s := shsettings.Fleet{
		VM: shmodel.VM(m.name), Zone: shmodel.FailureDomain(m.zone), Region: shmodel.Region(regionOf[m.zone]),
		Regions: map[shmodel.FailureDomain]shmodel.Region{}, IP: m.ip, PeerPort: peerPort, Bootstrap: true,
		TolerateLosses: 2, HeartbeatSeconds: heartbeat.Seconds(), StopSeconds: graceS, CacheSeconds: 1, ShareLoad: true,
		RetryShare: 0.2, RetrySlack: 60, RetryWindowSeconds: 10, LinkMbps: 1000, MemoryMB: 284, MaxFDs: 4100,
	}
	for zone, region := range regionOf {
		s.Regions[shmodel.FailureDomain(zone)] = shmodel.Region(region)
	}
	for _, c := range f.controls[:3] {
		s.Seeds = append(s.Seeds, c.address(controlPort))
	}
	if m.role == "control" {
		s.ControlAddress, s.DataFolder, s.DiskMB = m.address(controlPort), filepath.Join(f.folder, m.name+"-data"), 256
	} else {
		s.EntryAddress, s.ReadinessAddress, s.DirectoryAddress = m.address(frontPort), m.address(readinessPort), m.address(directoryPort)
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, text, 0o600)
}

// startAll starts the processes of all machines.
func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		if err := f.writeSettings(m); err != nil {
			return err
		}
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of a machine with the command of deploy/system.toml.
func (f *fleet) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(f.program, "platform", m.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SEQUOIAHOLLOW_NODE_FILE=" + m.settings}
	c.Stdout, c.Stderr = log, log
	// The process must not outlive this one, which keeps its main thread for that.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}()
	m.process, m.ended = c, ended
	f.record.add("start %s %s", m.role, m.name)
	return nil
}

// stopAll ends all processes and removes the folder. With KEEP set it keeps the folder,
// which has the logs.
func (f *fleet) stopAll() {
	for _, m := range append(append([]*machine{}, f.controls...), f.entries...) {
		if m.process == nil {
			continue
		}
		_ = m.process.Process.Kill()
		<-m.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs are kept in", f.folder)
	}
}

// awaitReady waits until all entry VMs answer that they are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, m := range f.entries {
		for !isReady(ctx, m) {
			if err := pause(ctx, 50*time.Millisecond); err != nil {
				return fmt.Errorf("%s is not ready: %w", m.name, err)
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, m *machine) bool {
	status, _, err := call(ctx, http.MethodGet, "http://"+m.address(readinessPort)+"/ready", nil)
	return err == nil && status == http.StatusOK
}

// pause waits, or returns the error of ctx when that ends.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
