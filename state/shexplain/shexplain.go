// Package shexplain tells the story of one request from the logs of the
// processes that handled it.
//
// Logs are JSON lines with the members time, msg and vm; text before the first
// brace of a line is ignored. The story has every line that names the request,
// in the order of time, and before them what the same processes last believed:
// the routing table in force, and what was said of the backend servers that the
// request met. A request that was answered in time at the first try leaves no
// line.
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
	// lookBack is how long before the request a line about a backend server is
	// told: heartbeats come every 1.5 s, and silence counts after 6 s.
	lookBack = 10 * time.Second
	// keptLines bounds the lines of context that are kept while reading.
	keptLines = 100_000
)

// Line is one line of a log.
type Line struct {
	Time    time.Time      `json:"time"`
	VM      string         `json:"vm"`
	Message string         `json:"msg"`
	Fields  map[string]any `json:"fields"`
}

// Story is what is known of a request.
type Story struct {
	Request string `json:"request"`
	// Lines name the request.
	Lines []Line `json:"lines"`
	// Context is what the processes believed before, the oldest first.
	Context []Line `json:"context"`
	// Skipped counts lines that are no JSON.
	Skipped int `json:"skipped"`
}

// Read reads logs and returns the story of a request.
func Read(request string, logs ...io.Reader) (Story, error) {
	s := Story{Request: request}
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
			if len(context) > keptLines {
				context = slices.Clone(context[len(context)-keptLines/2:])
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

// contextMessages are the lines that tell what a process believes.
var contextMessages = []string{
	"routing table in force", "no control VM answers", "entry VM started", "entry VM stops",
	"backend server announced", "backend server withdrew", "silent backend servers removed",
}

func isContext(l Line) bool { return slices.Contains(contextMessages, l.Message) }

// addContext picks the lines that bear on the request.
func (s *Story) addContext(context []Line) {
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
	newest := map[string]int{} // by VM and message, the last line before the request
	for i, l := range context {
		if vms[l.VM] && !l.Time.After(first) {
			newest[l.VM+l.Message] = i
		}
	}
	for i, l := range context {
		id, _ := l.Fields["id"].(string)
		instances := fmt.Sprint(l.Fields["instances"])
		aboutBackend := backends[id] || slices.ContainsFunc(keysOf(backends), func(b string) bool { return strings.Contains(instances, b) })
		near := first.Sub(l.Time) < lookBack && l.Time.Before(last)
		if newest[l.VM+l.Message] == i && vms[l.VM] && !l.Time.After(first) || aboutBackend && near {
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

// Write writes the story as text.
func (s Story) Write(w io.Writer) error {
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
