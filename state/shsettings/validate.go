package shsettings

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shdocument"
	"sequoiahollow/state/shmodel"
)

// Validate checks the settings without reading other files and returns every
// mistake. The problems have paths, but neither file nor line.
func (s Settings) Validate() Problems {
	v := validator{settings: s}
	v.name("/vm", string(s.VM))
	v.name("/region", string(s.Region))
	v.name("/failureDomain", string(s.FailureDomain))
	v.roles("/roles", s.Roles)
	v.files()
	v.addresses()
	v.peers()
	v.ownPeer()
	for path, value := range map[string]int{"/memoryMb": s.MemoryMB, "/maxFds": s.MaxFDs} {
		if value < 0 {
			v.add(path, "%d is negative", value)
		}
	}
	return v.problems
}

// Warnings lists what is valid but lowers availability.
func (s Settings) Warnings() []string {
	var warnings []string
	voters := 0
	domains := map[shmodel.Place]bool{}
	for _, peer := range s.Peers {
		if peer.Has(Control) {
			voters++
		}
		if peer.Has(Account) {
			domains[shmodel.Place{Region: peer.Region, FailureDomain: peer.FailureDomain}] = true
		}
	}
	if voters%2 == 0 {
		warnings = append(warnings, fmt.Sprintf(
			"peers: %d control VMs survive no more failures than %d would; an odd number is better", voters, voters-1))
	}
	if len(domains) < 2 {
		warnings = append(warnings,
			"peers: the account VMs are in fewer than two failure domains, so once-only work is refused")
	}
	return warnings
}

// field is a value of the settings and its path.
type field struct{ path, value string }

type validator struct {
	settings Settings
	problems Problems
}

func (v *validator) add(path, format string, args ...any) {
	v.problems.Add(path, format, args...)
}

func (v *validator) name(path, name string) {
	if name == "" {
		v.add(path, "missing")
		return
	}
	if err := shconfig.CheckName(name); err != nil {
		v.add(path, "%v", err)
	}
}

func (v *validator) roles(path string, roles []Role) {
	if len(roles) == 0 {
		v.add(path, "at least one role is needed: %q, %q or %q", Entry, Control, Account)
	}
	for i, role := range roles {
		element := indexed(path, i)
		switch role {
		case Entry, Control, Account:
		default:
			v.add(element, "want %q, %q or %q, got %q", Entry, Control, Account, role)
		}
		if slices.Index(roles, role) < i {
			v.add(element, "role %q is listed twice", role)
		}
	}
}

func (v *validator) files() {
	s := v.settings
	if s.DataFolder == "" && s.needsDataFolder() {
		v.add("/dataFolder", "the control and account roles need a data folder")
	}
	if s.OperatorTokenFile == "" {
		v.add("/operatorTokenFile", "missing")
	}
}

// needsDataFolder reports whether a role stores files in the data folder.
func (s Settings) needsDataFolder() bool { return s.Has(Control) || s.Has(Account) }

// addresses checks the four addresses. Without the entry role, the caller and
// server addresses may be missing.
func (v *validator) addresses() {
	s := v.settings
	fields := []field{
		{"/callerAddress", s.CallerAddress},
		{"/serverAddress", s.ServerAddress},
		{"/peerAddress", s.PeerAddress},
		{"/operatorAddress", s.OperatorAddress},
	}
	if !s.Has(Entry) {
		fields = slices.DeleteFunc(fields, func(f field) bool {
			return f.value == "" && (f.path == "/callerAddress" || f.path == "/serverAddress")
		})
	}
	v.distinct(fields)
}

// distinct checks that addresses are well-formed and that no two are equal.
func (v *validator) distinct(fields []field) {
	first := map[netip.AddrPort]string{}
	for _, f := range fields {
		address, err := parseAddress(f.value)
		if err != nil {
			v.add(f.path, "%v", err)
			continue
		}
		if other, ok := first[address]; ok {
			v.add(f.path, "%s is also the value of %s", f.value, other)
			continue
		}
		first[address] = f.path
	}
}

// parseAddress parses IP:port. Others connect to the address, so it must be that
// of one interface and have a port.
func parseAddress(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, errors.New("missing; want IP:port")
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("want IP:port, got %q", text)
	}
	if address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return netip.AddrPort{}, fmt.Errorf("%q is not the address of one interface", text)
	}
	if address.Port() == 0 {
		return netip.AddrPort{}, fmt.Errorf("%q has no port", text)
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), nil
}

func (v *validator) peers() {
	var fields []field
	names := map[shmodel.VM]int{}
	voters := 0
	for i, peer := range v.settings.Peers {
		path := indexed("/peers", i)
		v.name(path+"/vm", string(peer.VM))
		v.name(path+"/region", string(peer.Region))
		v.name(path+"/failureDomain", string(peer.FailureDomain))
		v.roles(path+"/roles", peer.Roles)
		v.peerRoles(path+"/roles", peer)
		fields = append(fields, field{path + "/peerAddress", peer.PeerAddress})
		if first, ok := names[peer.VM]; ok && peer.VM != "" {
			v.add(path+"/vm", "VM %q is also peer %d", peer.VM, first)
		} else {
			names[peer.VM] = i
		}
		if peer.Has(Control) {
			voters++
		}
	}
	v.distinct(fields)
	if voters == 0 {
		v.add("/peers", "at least one VM with the control role is needed")
	}
}

func (v *validator) peerRoles(path string, peer Peer) {
	if peer.Has(Control) || peer.Has(Account) {
		return
	}
	if len(peer.Roles) > 0 {
		v.add(path, "peers are the VMs with the control or account role")
	}
}

// ownPeer checks that the element of Peers for this VM, if there is one, agrees
// with the rest of the settings. A VM with the control or account role needs one.
func (v *validator) ownPeer() {
	s := v.settings
	i := slices.IndexFunc(s.Peers, func(p Peer) bool { return p.VM == s.VM })
	if i < 0 {
		if s.needsDataFolder() {
			v.add("/peers", "VM %q has the control or account role, so it must be listed", s.VM)
		}
		v.otherAtOwnAddress()
		return
	}
	peer, path := s.Peers[i], indexed("/peers", i)
	v.same(path+"/region", string(peer.Region), string(s.Region))
	v.same(path+"/failureDomain", string(peer.FailureDomain), string(s.FailureDomain))
	v.same(path+"/peerAddress", peer.PeerAddress, s.PeerAddress)
	for _, role := range []Role{Entry, Control, Account} {
		listed := peer.Has(role)
		if role != Entry && listed != s.Has(role) {
			v.add(path+"/roles", "role %q differs from the roles of this VM", role)
		}
	}
}

func (v *validator) same(path, listed, own string) {
	if listed != own {
		v.add(path, "%q differs from %q of this VM", listed, own)
	}
}

// otherAtOwnAddress reports a peer that has the peer address of this VM.
func (v *validator) otherAtOwnAddress() {
	for i, peer := range v.settings.Peers {
		if peer.PeerAddress != "" && peer.PeerAddress == v.settings.PeerAddress {
			v.add(indexed("/peers", i)+"/peerAddress", "%q is the address of this VM", peer.PeerAddress)
		}
	}
}

func indexed(path string, i int) string {
	return shdocument.Join(path, strconv.Itoa(i))
}
