package shaccount

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shaccount/internal/shsegment"
)

const (
	// maxUnindexed is the number of closed segments without an index file from which
	// on appends wait: with the open segment, about 15 MiB of index in memory.
	maxUnindexed = 2
	// indexRetryPause is the time between attempts to write an index file.
	indexRetryPause = time.Second
)

// sealedSegment is a closed segment whose index is in a file. It is not changed, but
// replaced.
type sealedSegment struct {
	number  uint32
	first   uint64
	records int
	// bytes is the size of the index file.
	bytes int64
	ids   intervals
	// digest is that of the segment when the index file was written last.
	digest *atomic.Uint64
}

// writeIndex writes the index file of a closed segment.
func (s *Store) writeIndex(x *index, segment shsegment.Segment, digest uint64) (*sealedSegment, error) {
	data, ids, err := encodeIndex(x, s.vms.all(), digest)
	if err != nil {
		return nil, err
	}
	sealed := &sealedSegment{
		number: x.segment, first: segment.First, records: x.size, bytes: int64(len(data)),
		ids: ids.shorten(maxIntervals), digest: new(atomic.Uint64),
	}
	sealed.digest.Store(digest)
	return sealed, writeFile(s.folder, indexName(segment.First), data)
}

// openIndex reads and checks the index file of a closed segment.
func (s *Store) openIndex(number uint32, segment shsegment.Segment) (*sealedSegment, error) {
	f, err := s.folder.Read(indexName(segment.First))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	head, err := readHead(f, segment.Digest)
	if err != nil {
		return nil, err
	}
	sealed := &sealedSegment{
		number: number, first: segment.First, records: head.records,
		bytes: head.start + int64(head.records)*entryBytes, digest: new(atomic.Uint64),
	}
	sealed.digest.Store(segment.Digest)
	var ids intervals
	for _, c := range head.chunks {
		records, err := head.readChunk(f, c, number, &s.vms)
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			ids = ids.extend(r.request)
		}
	}
	sealed.ids = ids.shorten(maxIntervals)
	return sealed, nil
}

// scanIndex builds the index of a segment from its records. It also returns the
// digest of what it read.
func (s *Store) scanIndex(number uint32) (*index, uint64, error) {
	reader := s.log.Reader()
	defer reader.Close()
	x := &index{segment: number}
	digest, err := reader.Scan(number, 0, 0, func(at shsegment.Location, payload []byte) error {
		return s.load(x, at, payload)
	})
	return x, digest, err
}

// load adds a stored record to an index.
func (s *Store) load(x *index, at shsegment.Location, payload []byte) error {
	var r shrecord.Record
	if err := json.Unmarshal(payload, &r); err != nil {
		return fmt.Errorf("record has a valid checksum but cannot be decoded: %w", err)
	}
	x.put(s.vms.key(r.Identity(), contentHash(payload)), entry{location: at})
	return nil
}

// openClosed opens the index files of all closed segments and writes those that are
// missing or damaged. An index that cannot be written stays in memory.
func (s *Store) openClosed() error {
	segments := s.log.Segments()
	for n, segment := range segments[:len(segments)-1] {
		sealed, err := s.openIndex(uint32(n), segment)
		if err != nil {
			x, digest, scanErr := s.scanIndex(uint32(n))
			if scanErr != nil {
				return scanErr
			}
			if sealed, err = s.writeIndex(x, segment, digest); err != nil {
				s.indexErr = err
				s.recent = slices.Insert(s.recent, len(s.recent)-1, x)
				continue
			}
		}
		s.addSealed(sealed)
	}
	if s.indexErr != nil {
		s.retryIndexLater()
	}
	return nil
}

// addSealed adds a segment to s.sealed and keeps the bound on all intervals by
// joining those of the oldest segments.
func (s *Store) addSealed(sealed *sealedSegment) {
	s.sealed = append(slices.Clip(s.sealed), sealed)
	s.sealedRecords += sealed.records
	s.indexBytes += sealed.bytes
	s.intervals += len(sealed.ids)
	for _, limit := range []int{maxIntervals / 16, 1} {
		for i := 0; i < len(s.sealed) && s.intervals > maxAllIntervals; i++ {
			short := *s.sealed[i]
			short.ids = short.ids.shorten(limit)
			s.intervals -= len(s.sealed[i].ids) - len(short.ids)
			s.sealed[i] = &short
		}
	}
}

// startIndexing writes the index files of closed segments in the background. The lock
// must be held.
func (s *Store) startIndexing() {
	if s.indexing || s.closed || len(s.recent) < 2 {
		return
	}
	s.indexing = true
	s.tasks.Go(s.indexClosed)
}

// indexClosed writes the index files of closed segments until there is none without,
// or one cannot be written.
func (s *Store) indexClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.recent) > 1 && !s.closed {
		x := s.recent[0]
		s.mu.Unlock()
		segment := s.log.Segment(x.segment)
		sealed, err := s.writeIndex(x, segment, segment.Digest)
		s.mu.Lock()
		s.indexErr = err
		if err != nil {
			s.retryIndexLater()
			break
		}
		s.addSealed(sealed)
		s.recent = slices.Delete(s.recent, 0, 1)
		s.notifyIndexed()
	}
	s.indexing = false
	s.notifyIndexed()
}

func (s *Store) retryIndexLater() {
	if s.closed {
		return
	}
	s.indexTimer = time.AfterFunc(indexRetryPause, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.startIndexing()
	})
}

// notifyIndexed wakes the appends that wait for an index file.
func (s *Store) notifyIndexed() {
	if s.indexed != nil {
		close(s.indexed)
		s.indexed = nil
	}
}

// lookup reads the index in memory and in files as it was when the lookup began,
// with records that were appended since. It is not safe for concurrent use.
type lookup struct {
	store  *Store
	sealed []*sealedSegment
	recent []*index
	// open has the heads of the index files that were read.
	open map[*sealedSegment]*indexView
}

// indexView is an index file that is read, or the index of its segment if the file is
// damaged.
type indexView struct {
	head    indexHead
	rebuilt *index
}

// newLookup returns a lookup. The lock must be held.
func (s *Store) newLookup() *lookup {
	return &lookup{store: s, sealed: s.sealed, recent: slices.Clone(s.recent), open: make(map[*sealedSegment]*indexView)}
}

// head returns the head of the index file of a segment, or the index of the segment
// in memory if the file cannot be read.
func (l *lookup) head(g *sealedSegment) (*indexView, error) {
	if o := l.open[g]; o != nil {
		return o, nil
	}
	o := new(indexView)
	f, err := l.store.folder.Read(indexName(g.first))
	if err == nil {
		o.head, err = readHead(f, g.digest.Load())
		err = errors.Join(err, f.Close())
	}
	if err != nil {
		if o.rebuilt, err = l.store.rebuildIndex(g); err != nil {
			return nil, err
		}
	}
	l.open[g] = o
	return o, nil
}

// rebuildIndex builds the index of a segment from its records and tries to write its
// file again.
func (s *Store) rebuildIndex(g *sealedSegment) (*index, error) {
	s.rebuildMu.Lock()
	defer s.rebuildMu.Unlock()
	x, digest, err := s.scanIndex(g.number)
	if err != nil {
		return nil, err
	}
	if _, err := s.writeIndex(x, s.log.Segment(g.number), digest); err == nil {
		g.digest.Store(digest)
	}
	return x, nil
}

// next returns the number of the first chunk of a segment at or after chunk.
func (l *lookup) next(g *sealedSegment, chunk uint64) (uint64, bool, error) {
	o, err := l.head(g)
	if err != nil {
		return 0, false, err
	}
	if o.rebuilt != nil {
		n, ok := o.rebuilt.next(chunk)
		return n, ok, nil
	}
	c, ok := o.head.next(chunk)
	return c.number, ok, nil
}

// chunk returns the records of a chunk of a segment.
func (l *lookup) chunk(g *sealedSegment, chunk uint64) ([]located, error) {
	o, err := l.head(g)
	if err != nil {
		return nil, err
	}
	if o.rebuilt == nil {
		c, ok := o.head.next(chunk)
		if !ok || c.number != chunk {
			return nil, nil
		}
		records, err := l.readChunk(g, o, c)
		if err == nil {
			return records, nil
		}
		if o.rebuilt, err = l.store.rebuildIndex(g); err != nil {
			return nil, err
		}
	}
	var records []located
	for k, e := range o.rebuilt.chunks[chunk] {
		records = append(records, located{key: k, at: e.location})
	}
	return records, nil
}

func (l *lookup) readChunk(g *sealedSegment, o *indexView, c chunkInfo) ([]located, error) {
	f, err := l.store.folder.Read(indexName(g.first))
	if err != nil {
		return nil, err
	}
	records, err := o.head.readChunk(f, c, g.number, &l.store.vms)
	return records, errors.Join(err, f.Close())
}

// find returns those of keys that are in indexed segments, with the location of the
// record.
func (l *lookup) find(keys []key) (map[key]entry, error) {
	found := make(map[key]entry)
	if len(keys) == 0 || len(l.sealed) == 0 {
		return found, nil
	}
	wanted := make(map[key]bool, len(keys))
	first, last := keys[0].request, keys[0].request
	for _, k := range keys {
		wanted[k] = true
		first, last = min(first, k.request), max(last, k.request)
	}
	for _, g := range l.sealed {
		// The IDs of a batch are close together, so that this leaves few segments.
		if next, ok := g.ids.next(first); !ok || next > last {
			continue
		}
		chunks := make(map[uint64]bool)
		for k := range wanted {
			if g.ids.has(k.request) {
				chunks[uint64(k.request)/chunkIDs] = true
			}
		}
		for chunk := range chunks {
			records, err := l.chunk(g, chunk)
			if err != nil {
				return nil, err
			}
			for _, r := range records {
				if wanted[r.key] {
					found[r.key] = entry{location: r.at}
				}
			}
		}
	}
	return found, nil
}

// nextChunk returns the number of the first chunk at or after chunk that has records.
func (l *lookup) nextChunk(chunk uint64) (uint64, bool, error) {
	best, found := uint64(0), false
	l.store.mu.Lock()
	for _, x := range l.recent {
		if n, ok := x.next(chunk); ok && (!found || n < best) {
			best, found = n, true
		}
	}
	l.store.mu.Unlock()
	for _, g := range l.sealed {
		id, ok := g.ids.next(shmodel.RequestID(chunk * chunkIDs))
		if !ok || found && uint64(id)/chunkIDs >= best {
			continue
		}
		n, ok, err := l.next(g, chunk)
		if err != nil {
			return 0, false, err
		}
		if ok && (!found || n < best) {
			best, found = n, true
		}
	}
	return best, found, nil
}

// all returns all records of a chunk.
func (l *lookup) all(chunk uint64) (map[key]entry, error) {
	records := make(map[key]entry)
	for _, g := range l.sealed {
		id, ok := g.ids.next(shmodel.RequestID(chunk * chunkIDs))
		if !ok || uint64(id)/chunkIDs > chunk {
			continue
		}
		located, err := l.chunk(g, chunk)
		if err != nil {
			return nil, err
		}
		for _, r := range located {
			records[r.key] = entry{location: r.at}
		}
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	for _, x := range l.recent {
		for k, e := range x.chunks[chunk] {
			records[k] = e
		}
	}
	return records, nil
}

// foundRecord is a record of a page.
type foundRecord struct {
	key
	entry
}

// page returns up to limit records after the cursor within the bounds of request, in
// the order of export.
func (l *lookup) page(request ReadRequest, limit int) ([]foundRecord, error) {
	var page []foundRecord
	chunk := uint64(max(request.First, request.After.Identity.RequestID)) / chunkIDs
	for len(page) < limit {
		n, ok, err := l.nextChunk(chunk)
		if err != nil {
			return nil, err
		}
		if !ok || request.Last != 0 && n*chunkIDs > uint64(request.Last) {
			break
		}
		records, err := l.all(n)
		if err != nil {
			return nil, err
		}
		names := l.store.vms.all()
		var keys []key
		for k := range records {
			if k.request >= request.First && (request.Last == 0 || k.request <= request.Last) &&
				names.compare(k, request.After) > 0 {
				keys = append(keys, k)
			}
		}
		names.sort(keys)
		for _, k := range keys[:min(len(keys), limit-len(page))] {
			page = append(page, foundRecord{key: k, entry: records[k]})
		}
		chunk = n + 1
	}
	return page, nil
}
