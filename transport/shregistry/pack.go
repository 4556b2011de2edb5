package shregistry

import (
	"encoding/json"
	"sync"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/transport/shpeer"
)

// changePacker encodes each change once for all observers that need it. The zero
// value is ready to use.
type changePacker struct {
	mu sync.Mutex // held while a change is encoded, so that others wait for it
	// encoded holds, by the log index of the observer, the changes to index to.
	encoded map[uint64]encodedChange
	to      uint64
}

// encodedChange is a change as it is sent: either of its fields is empty.
type encodedChange struct {
	plain  shfleet.Change
	packed []byte
}

// pack returns the change from a log index to the current state of r, compressed
// if it is large.
func (p *changePacker) pack(r *Registry, since uint64) (shfleet.Change, []byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.mu.Lock()
	index := r.state.Index
	e, ok := p.encoded[since]
	if ok && p.to == index {
		r.mu.Unlock()
		return e.plain, e.packed, nil
	}
	change := r.state.Since(since)
	r.mu.Unlock()
	if p.to != index || p.encoded == nil {
		p.encoded, p.to = map[uint64]encodedChange{}, index
	}
	e, err := encodeChange(change)
	if err != nil {
		return shfleet.Change{}, nil, err
	}
	p.encoded[since] = e
	return e.plain, e.packed, nil
}

func encodeChange(c shfleet.Change) (encodedChange, error) {
	data, err := json.Marshal(c)
	if err != nil || len(data) < minPackedBytes {
		return encodedChange{plain: c}, err
	}
	packed, err := shpeer.Compress(data)
	return encodedChange{packed: packed}, err
}

// Unpack returns the change of a response.
func (w WatchResponse) Unpack() (shfleet.Change, error) {
	if len(w.Packed) == 0 {
		return w.Change, nil
	}
	data, err := shpeer.Decompress(w.Packed, maxChangeBytes)
	var c shfleet.Change
	if err == nil {
		err = json.Unmarshal(data, &c)
	}
	if err != nil {
		return shfleet.Change{}, &Error{Op: "unpack change", Kind: KindMalformed, Err: err}
	}
	return c, nil
}
