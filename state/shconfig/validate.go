package shconfig

import (
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"sequoiahollow/state/shdocument"
	"sequoiahollow/state/shmodel"
)

// MaxNameBytes bounds the names of regions, failure domains, links, services
// and VMs. It is the limit of a label of a host name in RFC 1035.
const MaxNameBytes = 63

// maxSize bounds each number of a Size.
const maxSize = 1_000_000

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// CheckName returns an error if the name of a region, failure domain, link,
// service or VM is not valid.
func CheckName(name string) error {
	if len(name) > MaxNameBytes {
		return fmt.Errorf("name %q is longer than %d bytes", name, MaxNameBytes)
	}
	if !namePattern.MatchString(name) {
		return fmt.Errorf("name %q must consist of lower-case letters, digits and inner hyphens", name)
	}
	return nil
}

// Validate checks the configuration as a whole and returns every mistake. The
// problems have paths, but neither file nor line.
func (c Config) Validate() Problems {
	v := validator{config: c}
	v.objective()
	v.regions()
	v.links()
	v.services()
	v.limits()
	return v.problems
}

type validator struct {
	config   Config
	problems Problems
}

func (v *validator) add(path, format string, args ...any) {
	v.problems.Add(path, format, args...)
}

func (v *validator) name(path, name string) {
	if err := CheckName(name); err != nil {
		v.add(path, "%v", err)
	}
}

// integer reports an integer that is not between low and high, inclusive.
func (v *validator) integer(path string, value, low, high int64) {
	if value < low || value > high {
		v.add(path, "want %d to %d, got %d", low, high, value)
	}
}

// number reports a number that is not between low and high, inclusive.
func (v *validator) number(path string, value, low, high float64) {
	if value < low || value > high {
		v.add(path, "want %v to %v, got %v", low, high, value)
	}
}

func (v *validator) latency(path string, milliseconds float64) {
	v.number(path, milliseconds, 0, float64(MaxLatency.Milliseconds()))
}

func (v *validator) objective() {
	switch v.config.Objective {
	case Headroom, Latency:
	case "":
		v.add("/objective", "missing; want %q or %q", Headroom, Latency)
	default:
		v.add("/objective", "want %q or %q, got %q", Headroom, Latency, v.config.Objective)
	}
}

func (v *validator) regions() {
	if len(v.config.Regions) == 0 {
		v.add("/regions", "at least one region is needed")
	}
	for _, name := range slices.Sorted(maps.Keys(v.config.Regions)) {
		region, path := v.config.Regions[name], shdocument.Join("/regions", string(name))
		v.name(path, string(name))
		v.failureDomains(path+"/failureDomains", region.FailureDomains)
		v.latency(path+"/clientLatencyMs", region.ClientLatencyMS)
		v.latency(path+"/innerLatencyMs", region.InnerLatencyMS)
	}
}

func (v *validator) failureDomains(path string, domains []shmodel.FailureDomain) {
	if len(domains) == 0 {
		v.add(path, "at least one failure domain is needed")
	}
	for i, domain := range domains {
		element := indexed(path, i)
		v.name(element, string(domain))
		if first := slices.Index(domains, domain); first < i {
			v.add(element, "failure domain %q is listed twice", domain)
		}
	}
}

func (v *validator) links() {
	type pair struct{ from, to shmodel.Region }
	first := map[pair]string{}
	for _, name := range slices.Sorted(maps.Keys(v.config.Links)) {
		link, path := v.config.Links[name], shdocument.Join("/links", name)
		v.name(path, name)
		v.link(path, link)
		p := pair{link.From, link.To}
		if other, ok := first[p]; ok {
			v.add(path, "link %q has the same regions: from %q to %q", other, link.From, link.To)
			continue
		}
		first[p] = name
	}
}

func (v *validator) link(path string, l Link) {
	v.linkEnd(path+"/from", l.From)
	v.linkEnd(path+"/to", l.To)
	if l.From == l.To && l.From != "" {
		v.add(path+"/to", "from and to are both %q", l.To)
	}
	if l.CapBitsPerSecond <= 0 {
		v.add(path+"/capBitsPerSecond", "must be positive, got %d", l.CapBitsPerSecond)
	}
	if l.ControlBitsPerSecond < 0 {
		v.add(path+"/controlBitsPerSecond", "must not be negative, got %d", l.ControlBitsPerSecond)
	}
	if l.CapBitsPerSecond > 0 && l.ControlBitsPerSecond >= l.CapBitsPerSecond {
		v.add(path+"/controlBitsPerSecond", "must be less than the cap of %d, got %d",
			l.CapBitsPerSecond, l.ControlBitsPerSecond)
	}
	v.latency(path+"/latencyMs", l.LatencyMS)
}

func (v *validator) linkEnd(path string, region shmodel.Region) {
	if region == "" {
		v.add(path, "missing")
		return
	}
	if _, ok := v.config.Regions[region]; !ok {
		v.add(path, "region %q does not exist", region)
	}
}

func (v *validator) services() {
	if len(v.config.Services) == 0 {
		v.add("/services", "at least one service is needed")
	}
	owners := map[string]shmodel.Service{}
	for _, name := range slices.Sorted(maps.Keys(v.config.Services)) {
		service, path := v.config.Services[name], shdocument.Join("/services", string(name))
		v.name(path, string(name))
		v.hosts(path+"/hosts", name, service.Hosts, owners)
		v.kind(path+"/default", service.Default)
		v.operations(path+"/operations", service.Operations)
		v.integer(path+"/defaultTimeoutMs", service.DefaultTimeoutMS, 1, MaxTimeout.Milliseconds())
		v.integer(path+"/maxBodyBytes", service.MaxBodyBytes, 0, MaxBodyBytesLimit)
		v.serviceLevel(path+"/serviceLevel", service.ServiceLevel)
		v.size(path+"/size", service.Size)
	}
}

func (v *validator) hosts(path string, name shmodel.Service, hosts []string, owners map[string]shmodel.Service) {
	for i, host := range hosts {
		element := indexed(path, i)
		if err := checkHost(host); err != nil {
			v.add(element, "%v", err)
		}
		if owner, ok := owners[host]; ok {
			v.add(element, "host %q already belongs to service %q", host, owner)
			continue
		}
		owners[host] = name
	}
}

// maxHostBytes is the limit of a host name in RFC 1035.
const maxHostBytes = 253

func checkHost(host string) error {
	if host == "" || len(host) > maxHostBytes {
		return fmt.Errorf("host %q must have 1 to %d bytes", host, maxHostBytes)
	}
	for label := range strings.SplitSeq(host, ".") {
		if err := CheckName(label); err != nil {
			return fmt.Errorf("host %q must be lower case, without port or trailing dot: %w", host, err)
		}
	}
	return nil
}

func (v *validator) kind(path string, kind shmodel.OperationKind) {
	switch kind {
	case shmodel.Idempotent, shmodel.OnceOnly:
	case "":
		v.add(path, "missing; want %q or %q", shmodel.Idempotent, shmodel.OnceOnly)
	default:
		v.add(path, "want %q or %q, got %q", shmodel.Idempotent, shmodel.OnceOnly, kind)
	}
}

func (v *validator) operations(path string, operations []Operation) {
	first := map[string]int{}
	for i, operation := range operations {
		element := indexed(path, i)
		if !methodPattern.MatchString(operation.Method) {
			v.add(element+"/method", "want a method in upper case, got %q", operation.Method)
		}
		if err := checkPattern(operation.Path); err != nil {
			v.add(element+"/path", "%v", err)
		}
		v.kind(element+"/kind", operation.Kind)
		key := operation.Method + " " + operation.Path
		if earlier, ok := first[key]; ok {
			v.add(element, "never matches: operation %d has the same method and path", earlier)
			continue
		}
		first[key] = i
	}
}

// checkPattern reports what net/http rejects in a path pattern. The mux panics
// on a pattern that it rejects.
func checkPattern(pattern string) (err error) {
	if !strings.HasPrefix(pattern, "/") {
		return fmt.Errorf("path pattern %q must start with a slash", pattern)
	}
	if strings.ContainsAny(pattern, " \t") {
		return fmt.Errorf("path pattern %q must not contain spaces", pattern)
	}
	if cleanPath(pattern) != pattern {
		return fmt.Errorf("path pattern %q must not contain empty, . or .. segments", pattern)
	}
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("path pattern %q: %v", pattern, reason)
		}
	}()
	http.NewServeMux().Handle(pattern, http.NotFoundHandler())
	return nil
}

func (v *validator) serviceLevel(path string, level ServiceLevel) {
	if level == (ServiceLevel{}) {
		return
	}
	v.number(path+"/goodShare", level.GoodShare, 0, 1)
	if level.GoodShare == 0 {
		v.add(path+"/goodShare", "must be positive if a service level is given")
	}
	v.integer(path+"/latencyMs", level.LatencyMS, 1, MaxTimeout.Milliseconds())
}

func (v *validator) size(path string, size Size) {
	if size == (Size{}) {
		return
	}
	v.integer(path+"/backendServers", int64(size.BackendServers), 1, maxSize)
	v.integer(path+"/slots", int64(size.Slots), 1, maxSize)
	v.integer(path+"/connections", int64(size.Connections), 1, maxSize)
}

func (v *validator) limits() {
	l := v.config.Limits
	v.integer("/limits/lookupCacheMs", l.LookupCacheMS, 0, MaxLookupCache.Milliseconds())
	v.integer("/limits/crashLimit", int64(l.CrashLimit), 0, 100)
	v.number("/limits/retryShare", l.RetryShare, 0, 1)
	v.number("/limits/hedgeShare", l.HedgeShare, 0, 1)
	v.number("/limits/reserveShare", l.ReserveShare, 0, 0.9)
	v.integer("/limits/claimHours", int64(l.ClaimHours), 0, int64(MaxClaimRetention/time.Hour))
	v.integer("/limits/clockErrorMs", l.ClockErrorMS, 0, MaxClockError.Milliseconds())
}

// notices describes what is valid in a configuration but may be unintended.
func notices(c Config) []string {
	linked := map[[2]shmodel.Region]bool{}
	for _, link := range c.Links {
		linked[[2]shmodel.Region{link.From, link.To}] = true
	}
	var list []string
	names := slices.Sorted(maps.Keys(c.Regions))
	for _, from := range names {
		for _, to := range names {
			if from != to && !linked[[2]shmodel.Region{from, to}] {
				list = append(list, fmt.Sprintf("no link from %s to %s: no traffic shifts that way", from, to))
			}
		}
	}
	if c.Objective == Headroom && c.Limits.HedgeShare > 0 {
		list = append(list, "limits.hedgeShare has no effect under the headroom objective")
	}
	return list
}

func indexed(path string, i int) string { return path + "/" + strconv.Itoa(i) }
