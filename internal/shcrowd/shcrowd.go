// Package shcrowd runs a program beside a crowd of clients that misuse it, for tests
// of what a process holds for clients and of what ends it.
//
// # Model
//
// A Process is the program, built without the race detector, whose shadow memory
// would count as its own. A Client is one connection: it sends a head, then a part of
// a body, and stays open until the test ends, whatever the program answers. What is
// checked follows from the settings of the test alone: the process lives, and its
// peak memory and its open descriptors are within the bounds.
//
// The other side can fail as well: a Flood is a backend server whose answers have no end,
// and FillDisk makes the disk of a Process full.
package shcrowd

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// sendTimeout bounds the sending of one client, whose peer may stop reading.
	sendTimeout = 3 * time.Second
	// sampleInterval is the time between counts of the open descriptors. The peak
	// memory comes from the kernel and needs no samples.
	sampleInterval = 10 * time.Millisecond
	// stopTimeout bounds the wait for a process that was killed.
	stopTimeout = 10 * time.Second
	// settle is how long a crowd is left alone after it has sent what it could, for
	// the program to take what has arrived.
	settle = time.Second
	// logTail is how much of the log of a process a failed test shows, in bytes.
	logTail = 2000
)

// Process is a running program.
type Process struct {
	t       testing.TB
	command *exec.Cmd
	log     string
	ended   chan struct{}
	err     error // set before ended is closed
	peakFDs atomic.Int64
}

// Build builds the program of a package and returns its path.
func Build(t testing.TB, pkg string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "program")
	if out, err := exec.Command("go", "build", "-o", path, pkg).CombinedOutput(); err != nil {
		t.Fatalf("go build %s: %v\n%s", pkg, err, out)
	}
	return path
}

// Start starts a program with additional environment variables. It is killed when
// the test ends.
func Start(t testing.TB, program string, env []string, args ...string) *Process {
	t.Helper()
	p := &Process{t: t, command: exec.Command(program, args...), ended: make(chan struct{})}
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.log = log.Name()
	p.command.Env = append(os.Environ(), env...)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	go p.sample()
	t.Cleanup(func() {
		if t.Failed() {
			data, _ := os.ReadFile(p.log)
			t.Logf("log of %v:\n%s", args, data[max(0, len(data)-logTail):])
		}
		_ = p.command.Process.Kill()
		select {
		case <-p.ended:
		case <-time.After(stopTimeout):
			t.Error("a process did not end")
		}
	})
	return p
}

func (p *Process) proc(name string) string {
	return fmt.Sprintf("/proc/%d/%s", p.command.Process.Pid, name)
}

// sample keeps the peak of the open descriptors.
func (p *Process) sample() {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(sampleInterval):
			if list, err := os.ReadDir(p.proc("fd")); err == nil {
				p.peakFDs.Store(max(p.peakFDs.Load(), int64(len(list))))
			}
		}
	}
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *Process) peakMemory() (int64, error) {
	data, err := os.ReadFile(p.proc("status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmHWM:" {
			kb, err := strconv.ParseInt(f[1], 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("no VmHWM")
}

// Check fails the test unless the process lives and has never used more than
// memoryMB of memory nor had more than maxFDs descriptors open.
func (p *Process) Check(memoryMB, maxFDs int) {
	p.t.Helper()
	memory, memoryErr := p.peakMemory()
	select {
	case <-p.ended:
		data, _ := os.ReadFile(p.log)
		p.t.Fatalf("the process has ended: %v\n%s", p.err, data[max(0, len(data)-logTail):])
	default:
	}
	p.t.Logf("peak: %d MiB of memory, %d descriptors", memory>>20, p.peakFDs.Load())
	if memoryErr != nil || memory > int64(memoryMB)<<20 {
		p.t.Errorf("the process used %d MiB of memory, want at most %d (%v)", memory>>20, memoryMB, memoryErr)
	}
	if n := p.peakFDs.Load(); n > int64(maxFDs) {
		p.t.Errorf("the process had %d descriptors open, want at most %d", n, maxFDs)
	}
}

// Client is a connection that misuses a program.
type Client struct {
	Address string
	// Head is sent first, as it is.
	Head string
	// Body is the number of bytes that follow it. If Piece is set, they are sent in
	// chunks of that size, with the framing of chunked encoding and without its end.
	Body, Piece int
	// Window, if set, is the size of the receive buffer in bytes. The client never
	// reads.
	Window int
}

// Hold connects all clients and returns a while after each has sent what it could.
// The connections stay open until the test ends.
func Hold(t testing.TB, clients []Client) {
	t.Helper()
	var group sync.WaitGroup
	for _, c := range clients {
		group.Go(func() { c.hold(t) })
	}
	group.Wait()
	time.Sleep(settle)
}

// hold ignores errors: the program may refuse the client or close its connection.
func (c Client) hold(t testing.TB) {
	d := net.Dialer{Timeout: sendTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		if c.Window == 0 {
			return nil
		}
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.Window)
		})
		return errors.Join(err, optionErr)
	}}
	conn, err := d.Dial("tcp", c.Address)
	if err != nil {
		return
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(sendTimeout))
	_ = c.send(conn)
}

func (c Client) send(w io.Writer) error {
	if _, err := io.WriteString(w, c.Head); err != nil {
		return err
	}
	piece := c.Piece
	if piece == 0 {
		piece = 64 << 10
	}
	data := bytes.Repeat([]byte("x"), piece)
	for sent := 0; sent < c.Body; sent += piece {
		part := data[:min(piece, c.Body-sent)]
		if c.Piece > 0 {
			part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
		}
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}
