package shfleet

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"sequoiahollow/state/shmodel"
)

// maxErrors bounds the errors that are reported for a table. Without it, the errors of
// a small text that is nothing but mistakes take a multiple of its memory.
const maxErrors = 16

// Validate returns the first errors of a table, joined, as an *Error.
func (t Table) Validate() error {
	errs := t.errors()
	if len(errs) == 0 {
		return nil
	}
	return &Error{Op: "validate table", Kind: KindInvalid, Err: errors.Join(errs[:min(len(errs), maxErrors)]...)}
}

// errors returns the errors of a table. It stops when there are maxErrors.
func (t Table) errors() (errs []error) {
	services := map[shmodel.Service]bool{}
	for _, s := range t.Services {
		if len(errs) >= maxErrors {
			return errs
		}
		if s.Name == "" {
			errs = append(errs, errors.New("a service has no name"))
		}
		if services[s.Name] {
			errs = append(errs, fmt.Errorf("service %q is listed twice", s.Name))
		}
		services[s.Name] = true
	}
	places := map[string]string{}
	for _, r := range t.Routes {
		if len(errs) >= maxErrors {
			return errs
		}
		errs = append(errs, r.validate(services)...)
		place := r.Host + r.Prefix
		if other, ok := places[place]; ok {
			errs = append(errs, fmt.Errorf("routes %q and %q share host and prefix", other, r.Name))
		}
		places[place] = r.Name
	}
	for _, team := range t.Teams {
		if len(errs) >= maxErrors {
			return errs
		}
		errs = append(errs, team.validate()...)
	}
	return errs
}

func (r Route) validate(services map[shmodel.Service]bool) []error {
	var errs []error
	report := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("route %q: "+format, append([]any{r.Name}, args...)...))
	}
	if r.Host == "" {
		report("host is empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		report("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Attempts < 1 {
		report("no attempt is allowed")
	}
	if r.Timeout <= 0 {
		report("timeout is not positive")
	}
	total := 0.0
	for _, p := range r.Parts {
		if !services[p.Service] {
			report("service %q is not defined", p.Service)
		}
		if p.Weight < 0 {
			report("weight of service %q is negative", p.Service)
		}
		total += p.Weight
	}
	if total <= 0 {
		report("the weights add up to 0")
	}
	return errs
}

func (t Team) validate() []error {
	var errs []error
	if t.Name == "" {
		errs = append(errs, errors.New("a team has no name"))
	}
	if t.Rate < 0 || t.Burst < 0 {
		errs = append(errs, fmt.Errorf("team %q: the allowance is negative", t.Name))
	}
	return errs
}

// RouteIndex finds routes by host and longest path prefix, services by name and
// teams by key. Use NewRouteIndex to build one.
type RouteIndex struct {
	hosts    map[string][]*Route
	services map[shmodel.Service]*Service
	teams    map[KeyDigest]*Team
	// keyed says that the table has teams, even if none of them has a key.
	keyed   bool
	uploads bool
}

// NewRouteIndex returns the index of a table.
func NewRouteIndex(t Table) *RouteIndex {
	x := &RouteIndex{hosts: map[string][]*Route{}, services: map[shmodel.Service]*Service{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		x.hosts[r.Host] = append(x.hosts[r.Host], r)
		x.uploads = x.uploads || r.Upload
	}
	for _, routes := range x.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range t.Services {
		x.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Teams {
		for _, k := range t.Teams[i].Keys {
			if x.teams == nil {
				x.teams = map[KeyDigest]*Team{}
			}
			x.teams[k] = &t.Teams[i]
		}
	}
	x.keyed = len(t.Teams) > 0
	return x
}

// NeedsKey reports whether requests of a route need the key of a team.
func (x *RouteIndex) NeedsKey(r *Route) bool { return x.keyed && !r.Public }

// HasUploads reports whether the table has routes for uploads.
func (x *RouteIndex) HasUploads() bool { return x != nil && x.uploads }

// Keyed reports whether the table has teams.
func (x *RouteIndex) Keyed() bool { return x.keyed }

// Team returns the team that holds a key, nil if none does. Keys are found by their
// digests, so the time that a search takes tells nothing about a key.
func (x *RouteIndex) Team(key string) *Team {
	if key == "" {
		return nil
	}
	return x.teams[DigestKey(key)]
}

// Route returns the route of the longest prefix of path, nil if there is none.
func (x *RouteIndex) Route(host, path string) *Route {
	for _, r := range x.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service of the table, nil if there is none.
func (x *RouteIndex) Service(name shmodel.Service) *Service { return x.services[name] }
