package shaccount

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shaccount/internal/shsegment"
)

// unreleasedBatches holds the unreleased batches of one origin by number. No
// number is below oldest.
type unreleasedBatches struct {
	oldest  uint64
	batches map[uint64]batch
}

// batch tells which records a batch has: by key in a store without data folder,
// otherwise by place.
type batch struct {
	keys  []key
	spans []span
}

// span is a part of a segment, from one entry to another.
type span struct {
	segment    uint32
	start, end int64
}

// newBatch returns the batch with keys, whose entries are in held.
func (s *Store) newBatch(keys []key, held map[key]entry) batch {
	if s.log == nil {
		return batch{keys: keys}
	}
	var b batch
	for _, k := range keys {
		at := held[k].location
		last := len(b.spans) - 1
		if last >= 0 && b.spans[last].segment == at.Segment && b.spans[last].end == at.Offset {
			b.spans[last].end = at.End()
			continue
		}
		b.spans = append(b.spans, span{segment: at.Segment, start: at.Offset, end: at.End()})
	}
	return b
}

func (o *unreleasedBatches) has(number uint64) bool {
	_, ok := o.batches[number]
	return ok
}

// Release forgets the batches that no longer need a copy here. A store without
// data folder drops their records.
func (s *Store) Release(_ context.Context, request ReleaseRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseBelow(request.Origin, request.Oldest)
	for _, b := range request.Batches {
		s.release(request.Origin, b)
	}
	return nil
}

func (o *unreleasedBatches) add(number uint64, b batch) {
	o.batches[number] = b
	o.oldest = min(o.oldest, number)
}

// advance raises o.oldest to oldest and returns the batches below it. Each append
// calls it, so it iterates over the numbers in between or over all batches,
// whichever are fewer.
func (o *unreleasedBatches) advance(oldest uint64) []uint64 {
	var batches []uint64
	if oldest > o.oldest && oldest-o.oldest < uint64(len(o.batches)) {
		for b := o.oldest; b < oldest; b++ {
			if _, ok := o.batches[b]; ok {
				batches = append(batches, b)
			}
		}
	} else if oldest > o.oldest {
		for b := range o.batches {
			if b < oldest {
				batches = append(batches, b)
			}
		}
	}
	o.oldest = max(o.oldest, oldest)
	return batches
}

func (s *Store) releaseBelow(origin Origin, oldest uint64) {
	o := s.unreleased[origin]
	if o == nil {
		return
	}
	for _, b := range o.advance(oldest) {
		s.release(origin, b)
	}
}

func (s *Store) release(origin Origin, number uint64) {
	o := s.unreleased[origin]
	if o == nil {
		return
	}
	keys := o.batches[number].keys
	delete(o.batches, number)
	if len(o.batches) == 0 {
		delete(s.unreleased, origin)
	}
	if s.log != nil {
		return
	}
	for _, k := range keys {
		s.recent[0].remove(k)
	}
}

// Origins returns the origins with batches that are not released, in order.
func (s *Store) Origins() []Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	origins := slices.Collect(maps.Keys(s.unreleased))
	slices.SortFunc(origins, func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return origins
}

// Adopt writes the unreleased batches of an ended process to outbox, which
// replicates them to two account VMs. Every VM that holds such batches may adopt
// them, because appends are idempotent. Adopt stops at the first error of outbox.
func (s *Store) Adopt(ctx context.Context, origin Origin, outbox *Outbox) error {
	s.mu.Lock()
	var batches []uint64
	if o := s.unreleased[origin]; o != nil {
		batches = slices.Sorted(maps.Keys(o.batches))
	}
	s.mu.Unlock()
	for _, b := range batches {
		records, err := s.batch(origin, b)
		if err != nil {
			return err
		}
		if err := outbox.Write(ctx, records, Deferred); err != nil {
			return err
		}
		s.mu.Lock()
		s.release(origin, b)
		s.mu.Unlock()
	}
	return nil
}

// batch returns the readable records of an unreleased batch.
func (s *Store) batch(origin Origin, number uint64) ([]shrecord.Record, error) {
	s.mu.Lock()
	var b batch
	if o := s.unreleased[origin]; o != nil {
		b = o.batches[number]
	}
	var records []shrecord.Record
	for _, k := range b.keys {
		if e, ok := s.recentEntry(k); ok {
			records = append(records, *e.record)
		}
	}
	s.mu.Unlock()
	if len(b.spans) == 0 {
		return records, nil
	}
	reader := s.log.Reader()
	defer reader.Close()
	for _, p := range b.spans {
		_, err := reader.Scan(p.segment, p.start, p.end, func(_ shsegment.Location, payload []byte) error {
			var r shrecord.Record
			err := json.Unmarshal(payload, &r)
			records = append(records, r)
			return err
		})
		if err != nil && !errors.Is(err, shsegment.ErrUnreadable) {
			return nil, storeError("adopt", err)
		}
	}
	return records, nil
}
