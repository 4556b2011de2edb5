package shsettings

import (
	"fmt"
	"net"
	"time"

	"sequoiahollow/state/shdocument"
	"sequoiahollow/state/shmodel"
)

// Fleet is the settings of an entry VM or a control VM of a fleet.
type Fleet struct {
	VM      shmodel.VM                               `json:"vm"`
	Zone    shmodel.FailureDomain                    `json:"failureDomain"`
	Region  shmodel.Region                           `json:"region"`
	Regions map[shmodel.FailureDomain]shmodel.Region `json:"regions"`
	// IP is the address of the VM.
	IP string `json:"ip"`
	// The addresses to listen on, IP:port. Those of other roles are empty.
	EntryAddress     string `json:"entryAddress"`
	ReadinessAddress string `json:"readinessAddress"`
	DirectoryAddress string `json:"directoryAddress"`
	ControlAddress   string `json:"controlAddress"`
	// PeerPort is the port for traffic between VMs, the same on all.
	PeerPort int `json:"peerPort"`
	// Seeds are the control addresses of some control VMs, IP:port.
	Seeds []string `json:"seeds"`
	// Bootstrap is set at the first start of the whole system.
	Bootstrap  bool   `json:"bootstrap"`
	DataFolder string `json:"dataFolder"`
	// TolerateLosses is the number of control VMs that may be lost at once.
	TolerateLosses int `json:"tolerateLosses"`
	// HeartbeatSeconds is the interval of announcements of backend servers.
	HeartbeatSeconds float64 `json:"heartbeatSeconds"`
	// StopSeconds is the time that the process has to stop, after which it is
	// killed.
	StopSeconds float64 `json:"stopSeconds"`
	// CacheSeconds is how long callers may use an answer of the directory.
	CacheSeconds float64 `json:"cacheSeconds"`
	// MemoryMB and MaxFDs are the memory of the VM in MiB and the file descriptors
	// that the process may have open; zero means no limit.
	MemoryMB int `json:"memoryMb"`
	MaxFDs   int `json:"maxFds"`
	// DiskMB is the size of the disk of the data folder in MiB, zero if it is not
	// known.
	DiskMB int `json:"diskMb"`
	// AccountMB bounds the files of the account in MiB. Zero selects five eighths of
	// DiskMB, or no bound if that is zero too.
	AccountMB int `json:"accountMb"`
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s, zero for no bound.
	LinkMbps float64 `json:"linkMbps"`
	// ShareLoad says that entry VMs tell each other, through the leader, how many
	// requests they have at each backend server and in which region a key has its
	// backend servers.
	ShareLoad bool `json:"shareLoad"`
	// RetryShare, RetrySlack and RetryWindowSeconds bound the retries that all
	// entry VMs together make for a service: in any window, RetryShare of its
	// requests plus RetrySlack. A window of zero selects the defaults of shfront.
	RetryShare         float64 `json:"retryShare"`
	RetrySlack         float64 `json:"retrySlack"`
	RetryWindowSeconds float64 `json:"retryWindowSeconds"`
	// RevokeSeconds is the time after the acknowledgement of a routing table within
	// which keys that it took away stop everywhere; zero for no bound.
	RevokeSeconds float64 `json:"revokeSeconds"`
	// QuotaWindowSeconds, QuotaOver and QuotaSlack say how allowances of teams are
	// measured: in any window, at most (rate × window + burst) × (1 + QuotaOver) +
	// QuotaSlack requests of a team may run. With a window of zero no allowance is kept.
	QuotaWindowSeconds float64 `json:"quotaWindowSeconds"`
	QuotaOver          float64 `json:"quotaOver"`
	QuotaSlack         float64 `json:"quotaSlack"`
	// RepeatShare is the share of the requests of a service that may be sent to a
	// second backend server because their answers are later than most, up to
	// MaxRepeatShare. With zero, the default, none are. Second sends count as retries too.
	RepeatShare float64 `json:"repeatShare"`
}

// MaxRepeatShare is the largest RepeatShare: the share of retries that the example
// deployments allow.
const MaxRepeatShare = 0.2

// LoadFleet reads and checks a file of fleet settings. The error is an *Error;
// for kind Invalid it lists every mistake.
func LoadFleet(file string) (Fleet, error) {
	const op = "load fleet settings"
	data, err := shdocument.ReadFile(file, maxSettingsBytes)
	if err != nil {
		return Fleet{}, &Error{Op: op, Kind: Unreadable, Err: err}
	}
	v, problems := shdocument.Parse(file, data)
	if v == nil {
		return Fleet{}, &Error{Op: op, Kind: Invalid, Err: problems}
	}
	problems = append(problems, shdocument.Check[Fleet](v, false)...)
	settings, err := shdocument.Decode[Fleet](v)
	if err != nil && len(problems) == 0 {
		problems = Problems{{File: file, Reason: err.Error()}}
	}
	problems = append(problems, settings.Validate()...)
	if len(problems) > 0 {
		problems.Locate(v)
		return Fleet{}, &Error{Op: op, Kind: Invalid, Err: problems}
	}
	return settings, nil
}

// Validate checks the settings and returns every mistake.
func (f Fleet) Validate() Problems {
	var problems Problems
	report := func(field, format string, args ...any) {
		problems = append(problems, Problem{Path: field, Reason: fmt.Sprintf(format, args...)})
	}
	if f.VM == "" {
		report("vm", "is empty")
	}
	if f.Regions[f.Zone] != f.Region || f.Region == "" {
		report("failureDomain", "%q is not a failure domain of region %q", f.Zone, f.Region)
	}
	if net.ParseIP(f.IP) == nil {
		report("ip", "%q is no IP address", f.IP)
	}
	if f.PeerPort < 1 || f.PeerPort > 65535 {
		report("peerPort", "%d is no port", f.PeerPort)
	}
	if len(f.Seeds) == 0 {
		report("seeds", "is empty")
	}
	for _, a := range append([]string{f.EntryAddress, f.ReadinessAddress, f.DirectoryAddress, f.ControlAddress}, f.Seeds...) {
		if _, _, err := net.SplitHostPort(a); a != "" && err != nil {
			report("seeds", "address %q: %v", a, err)
		}
	}
	if f.ControlAddress != "" && f.DataFolder == "" {
		report("dataFolder", "is empty on a control VM")
	}
	for name, value := range map[string]float64{
		"heartbeatSeconds": f.HeartbeatSeconds, "stopSeconds": f.StopSeconds, "cacheSeconds": f.CacheSeconds,
	} {
		if value <= 0 {
			report(name, "%v is not positive", value)
		}
	}
	f.validateRepeats(report)
	if f.TolerateLosses < 0 {
		report("tolerateLosses", "is negative")
	}
	return problems
}

// validateRepeats checks the limits of retries and second sends.
func (f Fleet) validateRepeats(report func(field, format string, args ...any)) {
	for name, value := range map[string]float64{
		"retryShare": f.RetryShare, "retrySlack": f.RetrySlack, "retryWindowSeconds": f.RetryWindowSeconds,
		"memoryMb": float64(f.MemoryMB), "maxFds": float64(f.MaxFDs),
		"diskMb": float64(f.DiskMB), "accountMb": float64(f.AccountMB),
		"revokeSeconds":      f.RevokeSeconds,
		"quotaWindowSeconds": f.QuotaWindowSeconds, "quotaOver": f.QuotaOver, "quotaSlack": f.QuotaSlack,
	} {
		if value < 0 {
			report(name, "%v is negative", value)
		}
	}
	if f.RepeatShare < 0 || f.RepeatShare > MaxRepeatShare {
		report("repeatShare", "%v is not between 0 and %v", f.RepeatShare, MaxRepeatShare)
	}
}

// AccountBytes returns the bound on the files of the account, zero for none. By
// default, three eighths of the disk stay for the replicated state, which stops if
// the disk is full: 96 of 256 MiB, for two segments of its log of 16 MiB, snapshots,
// and a batch beyond a segment.
func (f Fleet) AccountBytes() int64 {
	if f.AccountMB > 0 {
		return int64(f.AccountMB) << 20
	}
	return int64(f.DiskMB) << 20 / 8 * 5
}

// PeerAddress returns the address at which this process takes calls of other
// VMs.
func (f Fleet) PeerAddress() string { return f.peerAddress(f.IP) }

// PeerSeeds returns the peer addresses of the seeds. Malformed seeds are left
// out; Validate reports them.
func (f Fleet) PeerSeeds() []string {
	var peers []string
	for _, s := range f.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			peers = append(peers, f.peerAddress(host))
		}
	}
	return peers
}

func (f Fleet) peerAddress(host string) string {
	return net.JoinHostPort(host, fmt.Sprint(f.PeerPort))
}

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
