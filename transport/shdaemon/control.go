package shdaemon

import (
	"context"
	"path/filepath"
	"time"

	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shreplica"
	"sequoiahollow/transport/shstore"
)

// reopenPause is the pause before a failed store is opened again.
const reopenPause = 500 * time.Millisecond

// openReplica opens the control role. The versions of its directory begin anew, so
// incarnation must be a new one each time.
func (d *daemon) openReplica(incarnation uint64) error {
	s := d.settings
	var voters []shstore.Peer
	var others []string
	for _, p := range s.Peers {
		if !p.Has(shsettings.Control) {
			continue
		}
		voters = append(voters, shstore.Peer{VM: p.VM, Address: p.PeerAddress})
		if p.VM != s.VM {
			others = append(others, p.PeerAddress)
		}
	}
	replica, err := shreplica.Open(shreplica.Config{
		VM: s.VM, Incarnation: incarnation, Peers: others, Log: d.log,
		Store: shstore.Config{
			VM: s.VM, Address: s.PeerAddress, Folder: filepath.Join(s.DataFolder, "control"),
			Voters: voters, Bootstrap: true, Client: d.client, Server: d.server, Logger: d.log,
		},
	})
	if err == nil {
		d.replica.Store(replica)
	}
	return err
}

// keepReplicaOpen keeps the control role open until ctx ends. If its store has failed, for
// example because the disk is full, it is opened again from the data on disk; the other
// roles go on meanwhile.
func (d *daemon) keepReplicaOpen(ctx context.Context) {
	for d.settings.Has(shsettings.Control) {
		if r := d.replica.Load(); r != nil {
			select {
			case <-r.Done():
			case <-ctx.Done():
				return
			}
			d.replica.Store(nil)
			if err := r.Close(); err != nil {
				d.log.Error("closing the replicated store failed", "error", err)
			}
		}
		select {
		case <-time.After(reopenPause):
		case <-ctx.Done():
			return
		}
		if err := d.openReplica(uint64(time.Now().UnixNano())); err != nil {
			d.log.Error("replicated store not opened", "error", err)
		}
	}
}
