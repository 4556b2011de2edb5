// Package shsettings defines the settings of one process: its name, place,
// roles, addresses, data folder and the VMs with the control or account role.
//
// Load reads and checks a settings file and reports every mistake at once,
// with file, line and field. Settings.Warnings lists what is valid but lowers
// availability. Relative paths are relative to the working folder of the
// process. LoadFleet does the same for the settings of a process of a fleet.
package shsettings

import (
	"slices"

	"sequoiahollow/state/shmodel"
)

// Role is a function that a process performs.
type Role string

// Roles.
const (
	// Entry admits requests of callers and owns backend servers.
	Entry Role = "entry"
	// Control holds the replicated state.
	Control Role = "control"
	// Account stores account records.
	Account Role = "account"
)

// Settings is the content of a settings file. Addresses are IP:port.
type Settings struct {
	VM            shmodel.VM            `json:"vm"`
	Region        shmodel.Region        `json:"region"`
	FailureDomain shmodel.FailureDomain `json:"failureDomain"`
	Roles         []Role                `json:"roles"`
	// DataFolder is where files are stored durably. The control and account roles
	// need it.
	DataFolder string `json:"dataFolder,omitempty"`
	// CallerAddress serves lookups and requests of callers over HTTP.
	CallerAddress string `json:"callerAddress"`
	// ServerAddress serves announcements of backend servers and requests
	// forwarded by other entry VMs over HTTP.
	ServerAddress string `json:"serverAddress"`
	// PeerAddress serves jsonrpc2 between processes of the system.
	PeerAddress string `json:"peerAddress"`
	// OperatorAddress serves the operator interface, metrics and health.
	OperatorAddress string `json:"operatorAddress"`
	// OperatorTokenFile holds the bearer token of the operator interface. It
	// must not be readable by other users of the VM.
	OperatorTokenFile string `json:"operatorTokenFile"`
	// MemoryMB and MaxFDs are the memory, in MiB, and the file descriptors that the
	// process may use; zero means no limit.
	MemoryMB int `json:"memoryMb,omitempty"`
	MaxFDs   int `json:"maxFds,omitempty"`
	// Peers lists the VMs with the control or account role, including this VM if
	// it has one.
	Peers []Peer `json:"peers"`
}

// Peer is a VM known from the settings.
type Peer struct {
	VM            shmodel.VM            `json:"vm"`
	Region        shmodel.Region        `json:"region"`
	FailureDomain shmodel.FailureDomain `json:"failureDomain"`
	Roles         []Role                `json:"roles"`
	PeerAddress   string                `json:"peerAddress"`
}

// Has reports whether the VM has a role.
func (p Peer) Has(r Role) bool { return slices.Contains(p.Roles, r) }

// Place returns the place of the process.
func (s Settings) Place() shmodel.Place {
	return shmodel.Place{Region: s.Region, FailureDomain: s.FailureDomain}
}

// Has reports whether the process has a role.
func (s Settings) Has(r Role) bool { return slices.Contains(s.Roles, r) }
