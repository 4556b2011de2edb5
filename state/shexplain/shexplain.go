// Package shexplain extracts from the logs of all processes the lines that
// explain what happened to one request.
//
// Logs are JSON lines with the members time, msg and vm; text before the first
// brace of a line is ignored. A Timeline has every line that names the request,
// in the order of time. Its context shows what the VMs knew: the last line of
// each kind that the same VMs logged before, such as the routing table in force,
// and the lines of any VM shortly before and during the request about the
// backend servers of the attempts. No line is logged for a request that was
// answered in time at the first attempt.
package shexplain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLine bounds a line, in bytes; longer ones are an error.
	maxLine = 1 << 20
	// lookBack is how long before the first line of the request a line about a
	// backend server may be to belong to the context. Heartbeats are sent every
	// 1.5 s, and a backend server is removed 6 s after its last one.
	lookBack = 10 * time.Second
	// maxContextLines bounds the possible lines of context in memory.
	maxContextLines = 100_000
)

// Line is one line of a log.
type Line struct {
	Time    time.Time      `json:"time"`
	VM      string         `json:"vm"`
	Message string         `json:"msg"`
	Fields  map[string]any `json:"fields"`
}

// Timeline holds the lines of the logs that explain what happened to a request.
type Timeline struct {
	Request string `json:"request"`
	// Lines name the request.
	Lines []Line `json:"lines"`
	// Context shows what the VMs knew, the oldest line first.
	Context []Line `json:"context"`
	// Skipped counts lines that are not JSON or have no time.
	Skipped int `json:"skipped"`
}

// Read reads logs and returns the timeline of a request.
func Read(request string, logs ...io.Reader) (Timeline, error) {
	s := Timeline{Request: request}
	var context []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			line, ok := parse(scanner.Bytes())
			switch {
			case !ok:
				s.Skipped++
			case line.Fields["request"] == request:
				s.Lines = append(s.Lines, line)
			case isContext(line):
				context = append(context, line)
			}
			if len(context) > maxContextLines {
				context = slices.Clone(context[len(context)-maxContextLines/2:])
			}
		}
		if err := scanner.Err(); err != nil {
			return s, fmt.Errorf("read log: %w", err)
		}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Lines, byTime)
	slices.SortStableFunc(context, byTime)
	s.addContext(context)
	return s, nil
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Message, _ = fields["msg"].(string)
	line.VM, _ = fields["vm"].(string)
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return Line{}, false
	}
	line.Time = at
	for _, name := range []string{"msg", "vm", "time", "level"} {
		delete(fields, name)
	}
	return line, true
}

// contextMessages are the messages of lines that may belong to the context.
var contextMessages = []string{
	"routing table in force", "no control VM answers", "entry VM started", "entry VM stops",
	"backend server announced", "backend server withdrew", "silent backend servers removed",
	"permission to accept keys", "backend server leaves", "backend server wants no requests",
}

func isContext(l Line) bool { return slices.Contains(contextMessages, l.Message) }

// addContext adds the lines of context that concern the request.
func (s *Timeline) addContext(context []Line) {
	if len(s.Lines) == 0 {
		return
	}
	first, last := s.Lines[0].Time, s.Lines[len(s.Lines)-1].Time
	vms, backends := map[string]bool{}, map[string]bool{}
	for _, l := range s.Lines {
		vms[l.VM] = true
		if id, ok := l.Fields["backend"].(string); ok {
			backends[id] = true
		}
	}
	lastBefore := map[string]int{} // by VM and message, the index of the last line before the request
	for i, l := range context {
		if vms[l.VM] && !l.Time.After(first) {
			lastBefore[l.VM+l.Message] = i
		}
	}
	for i, l := range context {
		id, _ := l.Fields["id"].(string)
		instances := fmt.Sprint(l.Fields["instances"])
		aboutBackend := backends[id] || slices.ContainsFunc(keysOf(backends), func(b string) bool { return strings.Contains(instances, b) })
		recent := first.Sub(l.Time) < lookBack && l.Time.Before(last)
		if lastBefore[l.VM+l.Message] == i && vms[l.VM] && !l.Time.After(first) || aboutBackend && recent {
			s.Context = append(s.Context, l)
		}
	}
}

func keysOf(m map[string]bool) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Write writes the timeline as text.
func (s Timeline) Write(w io.Writer) error {
	if len(s.Lines) == 0 {
		_, err := fmt.Fprintf(w, "no line names request %s: it was answered in time at the first try, or its logs are missing\n", s.Request)
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", s.Request)
	if len(s.Context) > 0 {
		b.WriteString("what was known:\n")
		for _, l := range s.Context {
			l.write(&b)
		}
	}
	b.WriteString("what happened:\n")
	for _, l := range s.Lines {
		l.write(&b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (l Line) write(b *strings.Builder) {
	fmt.Fprintf(b, "  %s %s: %s", l.Time.Format("15:04:05.000"), l.VM, l.Message)
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "request" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	for _, name := range names {
		fmt.Fprintf(b, " %s=%v", name, l.Fields[name])
	}
	b.WriteByte('\n')
}
