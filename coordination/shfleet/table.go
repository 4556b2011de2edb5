package shfleet

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"sequoiahollow/state/shmodel"
)

// Validate returns all errors of a table, joined, as an *Error.
func (t Table) Validate() error {
	var errs []error
	services := map[shmodel.Service]bool{}
	for _, s := range t.Services {
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
		errs = append(errs, r.validate(services)...)
		place := r.Host + r.Prefix
		if other, ok := places[place]; ok {
			errs = append(errs, fmt.Errorf("routes %q and %q share host and prefix", other, r.Name))
		}
		places[place] = r.Name
	}
	if len(errs) == 0 {
		return nil
	}
	return &Error{Op: "validate table", Kind: KindInvalid, Err: errors.Join(errs...)}
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

// RouteIndex finds routes by host and longest path prefix, and services by name.
// Use NewRouteIndex to build one.
type RouteIndex struct {
	hosts    map[string][]*Route
	services map[shmodel.Service]*Service
}

// NewRouteIndex returns the index of a table.
func NewRouteIndex(t Table) *RouteIndex {
	x := &RouteIndex{hosts: map[string][]*Route{}, services: map[shmodel.Service]*Service{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		x.hosts[r.Host] = append(x.hosts[r.Host], r)
	}
	for _, routes := range x.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range t.Services {
		x.services[t.Services[i].Name] = &t.Services[i]
	}
	return x
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
