package shstore

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"sequoiahollow/coordination/shraft"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shlog"
)

// Files in the folder of a store.
const (
	metaFile     = "meta"
	snapshotFile = "snapshot"
	logFolder    = "log"
)

// meta is the content of metaFile: the identity, term and vote of a node.
type meta struct {
	ID    shraft.ID        `json:"id"`
	State shraft.HardState `json:"state"`
}

// disk holds the durable state of a node.
type disk struct {
	fs     shlog.FS
	folder string
	log    *shlog.Log
	meta   meta
}

// openDisk reads what is stored. A folder without any state gets a new identity.
func openDisk(fs shlog.FS, folder string, vm shmodel.VM) (*disk, shraft.StoredState, error) {
	d := &disk{fs: fs, folder: folder}
	if err := fs.MkdirAll(folder); err != nil {
		return nil, shraft.StoredState{}, err
	}
	log, err := shlog.Open(filepath.Join(folder, logFolder), shlog.Options{FS: fs})
	if err != nil {
		return nil, shraft.StoredState{}, err
	}
	d.log = log
	stored, err := d.load(vm)
	if err != nil {
		return nil, shraft.StoredState{}, errors.Join(err, log.Close())
	}
	return d, stored, nil
}

func (d *disk) load(vm shmodel.VM) (shraft.StoredState, error) {
	var stored shraft.StoredState
	content, found, err := shlog.LoadFile(d.fs, filepath.Join(d.folder, snapshotFile))
	if err != nil {
		return stored, err
	}
	if found {
		if stored.Snapshot, err = decodeSnapshot(content); err != nil {
			return stored, err
		}
	}
	if err := d.loadMeta(vm, found || d.log.Next() > d.log.First()); err != nil {
		return stored, err
	}
	stored.State = d.meta.State
	// Only the first snapshot of a new group is stored before its term.
	stored.State.Term = max(stored.State.Term, stored.Snapshot.Term)
	if d.log.First() == d.log.Next() && d.log.Next() != stored.Snapshot.Index+1 {
		// A crash came between the snapshot and the reset of the log.
		return stored, d.log.Reset(stored.Snapshot.Index + 1)
	}
	err = d.log.Read(d.log.First(), d.log.Next(), func(index uint64, data []byte) error {
		e, err := decodeEntry(index, data)
		stored.Entries = append(stored.Entries, e)
		return err
	})
	return stored, err
}

// loadMeta reads the identity, or makes one if nothing else is stored.
func (d *disk) loadMeta(vm shmodel.VM, hasState bool) error {
	file := filepath.Join(d.folder, metaFile)
	content, found, err := shlog.LoadFile(d.fs, file)
	if err != nil {
		return err
	}
	if found {
		if err := json.Unmarshal(content, &d.meta); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		if d.meta.ID.VM != vm {
			return fmt.Errorf("%s: folder belongs to VM %s, not to %s", file, d.meta.ID.VM, vm)
		}
		return nil
	}
	if hasState {
		// Without its vote the node could vote twice in a term.
		return fmt.Errorf("%s is missing although the folder holds a log or a snapshot", file)
	}
	var identity [16]byte
	rand.Read(identity[:]) // crypto/rand.Read never fails
	d.meta = meta{ID: shraft.ID{VM: vm, Disk: hex.EncodeToString(identity[:])}}
	return d.saveMeta()
}

func (d *disk) saveMeta() error {
	content, err := json.Marshal(d.meta)
	if err != nil {
		return err
	}
	return shlog.SaveFile(d.fs, filepath.Join(d.folder, metaFile), content)
}

func (d *disk) saveSnapshot(s shraft.Snapshot) error {
	content, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	return shlog.SaveFile(d.fs, filepath.Join(d.folder, snapshotFile), content)
}

// bootstrap stores the initial state of a new group. A crash leaves all of it or
// none: load derives the term from the snapshot.
func (d *disk) bootstrap(stored shraft.StoredState) error {
	if err := d.saveSnapshot(stored.Snapshot); err != nil {
		return err
	}
	return d.persist(shraft.Persist{State: &stored.State, Snapshot: &stored.Snapshot, ResetLog: true})
}

// persist carries out a Persist effect.
func (d *disk) persist(e shraft.Persist) error {
	if e.State != nil {
		d.meta.State = *e.State
		if err := d.saveMeta(); err != nil {
			return err
		}
	}
	if e.Snapshot != nil {
		if err := d.saveSnapshot(*e.Snapshot); err != nil {
			return err
		}
	}
	if e.ResetLog {
		if err := d.log.Reset(e.Snapshot.Index + 1); err != nil {
			return err
		}
	}
	if e.KeepFrom > 0 {
		if err := d.log.DropPrefix(e.KeepFrom); err != nil {
			return err
		}
	}
	if len(e.Entries) == 0 {
		return nil
	}
	records := make([][]byte, len(e.Entries))
	for i, entry := range e.Entries {
		records[i] = encodeEntry(entry)
	}
	return d.log.Append(e.Entries[0].Index, records...)
}

// entryHeaderBytes is the size of term (8), time (8) and kind (1).
const entryHeaderBytes = 17

func encodeEntry(e shraft.Entry) []byte {
	b := make([]byte, 0, entryHeaderBytes+len(e.Data))
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = binary.LittleEndian.AppendUint64(b, uint64(e.At.UnixNano()))
	b = append(b, byte(e.Kind))
	return append(b, e.Data...)
}

func decodeEntry(index uint64, b []byte) (shraft.Entry, error) {
	if len(b) < entryHeaderBytes {
		return shraft.Entry{}, fmt.Errorf("entry %d has %d bytes, its header needs %d", index, len(b), entryHeaderBytes)
	}
	return shraft.Entry{
		Index: index,
		Term:  binary.LittleEndian.Uint64(b),
		At:    time.Unix(0, int64(binary.LittleEndian.Uint64(b[8:]))).UTC(),
		Kind:  shraft.EntryKind(b[16]),
		Data:  append([]byte(nil), b[entryHeaderBytes:]...),
	}, nil
}

// A snapshot is stored as the length of its header (4 bytes), the header as JSON,
// and the data.

func encodeSnapshot(s shraft.Snapshot) ([]byte, error) {
	data := s.Data
	s.Data = nil
	header, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	b := make([]byte, 0, 4+len(header)+len(data))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(header)))
	b = append(b, header...)
	return append(b, data...), nil
}

func decodeSnapshot(b []byte) (shraft.Snapshot, error) {
	var s shraft.Snapshot
	if len(b) < 4 || int64(binary.LittleEndian.Uint32(b)) > int64(len(b)-4) {
		return s, errors.New("snapshot is incomplete")
	}
	headerEnd := 4 + int(binary.LittleEndian.Uint32(b))
	if err := json.Unmarshal(b[4:headerEnd], &s); err != nil {
		return s, fmt.Errorf("snapshot: %w", err)
	}
	s.Data = b[headerEnd:]
	return s, nil
}
