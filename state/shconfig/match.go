package shconfig

import (
	"net"
	"net/url"
	"path"
	"strings"

	"sequoiahollow/state/shmodel"
)

// Compiled is a configuration prepared for matching requests. It is immutable
// and safe for concurrent use. Find and Kind do not allocate for a lower-case
// host and a clean path without percent-encoding.
type Compiled struct {
	// Config is the source, with defaults filled into Limits.
	Config   Config
	services map[shmodel.Service]*CompiledService
	hosts    map[string]*CompiledService
}

// CompiledService is one service of a compiled configuration.
type CompiledService struct {
	Name    shmodel.Service
	Service Service
	// methods holds the operations of each method in their order.
	methods   map[string][]compiledOperation
	strictest shmodel.OperationKind
}

type compiledOperation struct {
	pattern pattern
	kind    shmodel.OperationKind
}

// Compile compiles a configuration. It fails for an invalid one, with an error
// that lists every mistake.
func Compile(c Config) (*Compiled, error) {
	if problems := c.Validate(); len(problems) > 0 {
		return nil, &Error{Op: "compile configuration", Kind: Invalid, Err: problems}
	}
	c.Limits = c.Limits.WithDefaults(c.Objective)
	compiled := &Compiled{
		Config:   c,
		services: map[shmodel.Service]*CompiledService{},
		hosts:    map[string]*CompiledService{},
	}
	for name, service := range c.Services {
		s := compileService(name, service)
		compiled.services[name] = s
		for _, host := range service.Hosts {
			compiled.hosts[host] = s
		}
	}
	return compiled, nil
}

func compileService(name shmodel.Service, service Service) *CompiledService {
	s := &CompiledService{
		Name:      name,
		Service:   service,
		methods:   map[string][]compiledOperation{},
		strictest: service.Default,
	}
	for _, operation := range service.Operations {
		compiled := compiledOperation{pattern: parsePattern(operation.Path), kind: operation.Kind}
		s.methods[operation.Method] = append(s.methods[operation.Method], compiled)
		if operation.Method == "GET" {
			s.methods["HEAD"] = append(s.methods["HEAD"], compiled)
		}
		if operation.Kind == shmodel.OnceOnly {
			s.strictest = shmodel.OnceOnly
		}
	}
	return s
}

// Find returns the service with a name, or else the service of a host. A name
// that does not exist is not looked up as a host. Host is the Host header of a
// request; a port and a trailing dot are ignored. The result is nil if there
// is no such service.
func (c *Compiled) Find(name, host string) *CompiledService {
	if name != "" {
		return c.services[shmodel.Service(name)]
	}
	if s, ok := c.hosts[host]; ok {
		return s
	}
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	return c.hosts[strings.ToLower(strings.TrimSuffix(host, "."))]
}

// Kind returns the kind of a request. EscapedPath is the path as sent, which
// is the EscapedPath of the request's URL. Patterns match as in net/http: a
// GET pattern also matches HEAD, and a path is cleaned before it is matched.
//
// Backend servers may read percent-encoded slashes and dot segments in more
// than one way, so a path with one of them gets the strictest kind that the
// service has.
func (s *CompiledService) Kind(method, escapedPath string) shmodel.OperationKind {
	if strings.IndexByte(escapedPath, '%') >= 0 && ambiguous(escapedPath) {
		return s.strictest
	}
	clean := cleanPath(escapedPath)
	for i := range s.methods[method] {
		operation := &s.methods[method][i]
		if operation.pattern.match(clean) {
			return operation.kind
		}
	}
	return s.Service.Default
}

// ambiguous reports whether decoding a path changes its segments. A path that
// cannot be decoded counts as ambiguous.
func ambiguous(escapedPath string) bool {
	for segment := range strings.SplitSeq(escapedPath, "/") {
		decoded, err := url.PathUnescape(segment)
		if err != nil || strings.ContainsAny(decoded, "/\\\x00") {
			return true
		}
		if decoded != segment && (decoded == "." || decoded == "..") {
			return true
		}
	}
	return false
}

// cleanPath removes empty and dot segments and keeps a trailing slash.
func cleanPath(p string) string {
	if isClean(p) {
		return p
	}
	cleaned := path.Clean("/" + p)
	last := p[strings.LastIndexByte(p, '/')+1:]
	if cleaned != "/" && (last == "" || last == "." || last == "..") {
		cleaned += "/"
	}
	return cleaned
}

func isClean(p string) bool {
	if p == "" || p[0] != '/' {
		return false
	}
	return !strings.Contains(p, "//") && !strings.Contains(p, "/./") && !strings.Contains(p, "/../") &&
		!strings.HasSuffix(p, "/.") && !strings.HasSuffix(p, "/..")
}

// pattern is a path pattern of net/http. After the segments, the path must have
// a slash and may continue if rest is set, must have exactly a slash if slash is
// set, and must end otherwise.
type pattern struct {
	segments []segment
	rest     bool
	slash    bool
}

// segment is one path segment; a wildcard matches any one segment.
type segment struct {
	literal  string
	wildcard bool
}

// parsePattern parses a pattern that checkPattern accepts.
func parsePattern(text string) pattern {
	var p pattern
	parts := strings.Split(text[1:], "/")
	for i, part := range parts {
		last := i == len(parts)-1
		switch {
		case part == "" && last, strings.HasSuffix(part, "...}"):
			p.rest = true
		case part == "{$}":
			p.slash = true
		case strings.HasPrefix(part, "{"):
			p.segments = append(p.segments, segment{wildcard: true})
		default:
			p.segments = append(p.segments, segment{literal: unescape(part)})
		}
	}
	return p
}

// match compares the pattern with a clean path, segment by segment.
func (p *pattern) match(cleaned string) bool {
	remaining := cleaned
	for i := range p.segments {
		if len(remaining) < 2 {
			return false
		}
		remaining = remaining[1:]
		end := strings.IndexByte(remaining, '/')
		if end < 0 {
			end = len(remaining)
		}
		want := &p.segments[i]
		if !want.wildcard && unescape(remaining[:end]) != want.literal {
			return false
		}
		remaining = remaining[end:]
	}
	switch {
	case p.rest:
		return remaining != ""
	case p.slash:
		return remaining == "/"
	default:
		return remaining == ""
	}
}

// unescape decodes the percent-encoding of a segment. It does not allocate if
// nothing is encoded.
func unescape(segment string) string {
	if strings.IndexByte(segment, '%') < 0 {
		return segment
	}
	decoded, err := url.PathUnescape(segment)
	if err != nil {
		return segment
	}
	return decoded
}
