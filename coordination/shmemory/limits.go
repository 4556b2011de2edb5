package shmemory

const (
	// limitShare is the share of a VM's memory that is held for clients at most. The
	// Go memory limit is 0.6 of it; the rest of that is for the state of the process
	// and for garbage.
	limitShare = 0.4
	// inboundShare and outboundShare are the shares of the descriptors for connections
	// of clients and to backend servers. The rest is for files, listeners and other
	// VMs.
	inboundShare  = 0.5
	outboundShare = 0.33
	// peerLimitShare and peerShare are the shares of memory and descriptors for
	// connections that are accepted from other VMs. With 128 MB the largest messages
	// that VMs send fit: raft entries of 2 MiB and 16,384 keys, with what is decoded
	// from them.
	peerLimitShare = 0.2
	peerShare      = 0.25
)

// NewBudget returns the budget of a process with memoryMB MiB of memory and fds
// descriptors for connections and files. Zero means no bound.
func NewBudget(memoryMB, fds int) *Budget {
	return &Budget{
		Limit: int64(limitShare * float64(memoryMB) * (1 << 20)),
		// Connections that were given up may add an eighth.
		MaxConnections: int(inboundShare * float64(fds) * 8 / 9),
	}
}

// NewPeerBudget returns the budget for connections from other VMs.
func NewPeerBudget(memoryMB, fds int) *Budget {
	return &Budget{
		Limit:          int64(peerLimitShare * float64(memoryMB) * (1 << 20)),
		MaxConnections: int(peerShare * float64(fds) * 8 / 9),
	}
}

// MaxOutbound returns how many connections to backend servers may be open with fds
// descriptors, zero for no bound.
func MaxOutbound(fds int) int { return int(outboundShare * float64(fds)) }
