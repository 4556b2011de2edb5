package shaccount

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shaccount/internal/shsegment"
)

const (
	// PageLimit is the largest number of records in a page.
	PageLimit = 1000
	// DefaultMemoryRecords bounds a store without data folder.
	DefaultMemoryRecords = 100_000
	// DefaultSyncDelay is the longest time before a sync starts for records that
	// no caller waits for.
	DefaultSyncDelay = 20 * time.Millisecond
	// maxVMs bounds the VM names in a store, so that their numbers fit in key.vm.
	maxVMs = 1 << 16
)

// StoreOptions are the options of a Store. Zero values select the defaults.
type StoreOptions struct {
	// Folder is the folder of the segments; it is created if missing. Without
	// it the store holds records in memory until they are released.
	Folder       string
	SegmentBytes int64
	// MemoryRecords bounds the records of a store without folder.
	MemoryRecords int
	SyncDelay     time.Duration
	// MaxBytes bounds the files of a store with a folder; further appends are refused
	// as Full. The heads of up to three index files, some KiB each, may come on top.
	// Zero sets no bound.
	MaxBytes int64

	// folder replaces Folder in tests.
	folder shsegment.Folder
}

// Store stores the account records of entry VMs. With a data folder it keeps
// them permanently; without one it holds them in memory until they are released.
// Its methods are safe for concurrent use.
type Store struct {
	options StoreOptions
	// log is nil without a data folder.
	log        *shsegment.Log
	folder     shsegment.Folder
	openReport shsegment.OpenReport
	vms        vmTable
	// rebuildMu is held while an index file is written again.
	rebuildMu sync.Mutex
	tasks     sync.WaitGroup

	mu sync.Mutex
	// recent holds the indexes in memory: those of closed segments without an index
	// file, and last the one of the open segment.
	recent []*index
	// sealed are the other segments. The slice is replaced, never changed.
	sealed []*sealedSegment
	// sealedRecords, indexBytes and intervals are sums over sealed.
	sealedRecords int
	indexBytes    int64
	intervals     int
	// indexing is set while index files are written in the background. indexErr is
	// the error of the last attempt, after which indexTimer starts another.
	indexing   bool
	indexErr   error
	indexTimer *time.Timer
	// indexed is closed when an index file was written or could not be. It is nil
	// unless an append waits.
	indexed chan struct{}
	refused uint64
	refusal error
	// unreleased holds the unreleased batches of each origin.
	unreleased map[Origin]*unreleasedBatches
	syncTimer  *time.Timer
	closed     bool
}

// OpenStore opens a store. It truncates a torn tail and skips damage elsewhere;
// OpenReport lists both. It writes the index files that are missing.
func OpenStore(options StoreOptions) (*Store, error) {
	s := &Store{options: options, unreleased: make(map[Origin]*unreleasedBatches)}
	if s.options.MemoryRecords <= 0 {
		s.options.MemoryRecords = DefaultMemoryRecords
	}
	if s.options.SyncDelay <= 0 {
		s.options.SyncDelay = DefaultSyncDelay
	}
	folder, err := s.options.openFolder()
	if err != nil {
		return nil, &Error{Op: "open", Kind: Failed, Err: err}
	}
	s.folder, s.recent = folder, []*index{{}}
	if folder == nil {
		return s, nil
	}
	s.log, s.openReport, err = shsegment.Open(folder, options.SegmentBytes, func(at shsegment.Location, payload []byte) error {
		return s.load(s.recent[0], at, payload)
	})
	if err != nil {
		return nil, &Error{Op: "open", Kind: Failed, Err: err}
	}
	s.recent[0].segment = uint32(len(s.log.Segments()) - 1)
	if err := s.openClosed(); err != nil {
		return nil, &Error{Op: "open", Kind: Failed, Err: errors.Join(err, s.log.Close())}
	}
	return s, nil
}

// openFolder returns the folder of the segments, or nil for a store in memory.
func (o StoreOptions) openFolder() (shsegment.Folder, error) {
	if o.folder != nil || o.Folder == "" {
		return o.folder, nil
	}
	if err := os.MkdirAll(o.Folder, 0o750); err != nil {
		return nil, err
	}
	return shsegment.OSFolder(o.Folder), nil
}

// Durable reports whether the store has a data folder.
func (s *Store) Durable() bool { return s.log != nil }

// Err returns an error of kind Failed if the store takes no records until its
// process restarts. The VM should then announce itself as unhealthy.
func (s *Store) Err() error {
	if s.log == nil || s.log.Err() == nil {
		return nil
	}
	return storeError("append", s.log.Err())
}

// OpenReport returns what OpenStore found in the data folder.
func (s *Store) OpenReport() shsegment.OpenReport { return s.openReport }

// Records returns the number of records held.
func (s *Store) Records() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sealedRecords + s.recentRecords()
}

// recentRecords returns the number of records whose index is in memory.
func (s *Store) recentRecords() int {
	n := 0
	for _, x := range s.recent {
		n += x.size
	}
	return n
}

// Append stores all records of a batch or none. Records that are held already
// are not stored again, so a batch may be resent. Kinds of errors: Invalid, Full,
// Failed, NoDisk, Stale, Closed, Canceled.
func (s *Store) Append(ctx context.Context, request AppendRequest) (AppendResponse, error) {
	if request.Sync && s.log == nil {
		return AppendResponse{}, &Error{Op: "append", Kind: NoDisk}
	}
	duplicates, err := s.appendBatch(ctx, request)
	if err != nil {
		if KindOf(err) == Full {
			s.mu.Lock()
			s.refused++
			s.refusal = err
			s.mu.Unlock()
		}
		return AppendResponse{}, err
	}
	response := AppendResponse{Duplicates: duplicates}
	if !request.Sync {
		s.syncLater()
		return response, nil
	}
	if err := s.log.Sync(ctx, s.log.Last()); err != nil {
		return AppendResponse{}, storeError("append", err)
	}
	response.Synced = true
	return response, nil
}

// HandleAppend is Append for a server: errors with a Kind are carried in the
// response.
func (s *Store) HandleAppend(ctx context.Context, request AppendRequest) (AppendResponse, error) {
	response, err := s.Append(ctx, request)
	if kind := KindOf(err); kind != "" {
		return AppendResponse{Refused: kind, Reason: err.Error()}, nil
	}
	return response, err
}

// storeError wraps an error of the log in an Error with its kind.
func storeError(op string, err error) error {
	kind := Failed
	switch {
	case errors.Is(err, shsegment.ErrFull):
		kind = Full
	case errors.Is(err, shsegment.ErrTooLarge):
		kind = Invalid
	case errors.Is(err, shsegment.ErrClosed):
		kind = Closed
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		kind = Canceled
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

// encodeAll validates and encodes records.
func encodeAll(records []shrecord.Record) ([][]byte, error) {
	encoded := make([][]byte, len(records))
	for i, r := range records {
		if err := r.Validate(); err != nil {
			return nil, &Error{Op: "append", Kind: Invalid, Err: err}
		}
		e, err := r.Encode()
		if err != nil {
			return nil, &Error{Op: "append", Kind: Invalid, Err: err}
		}
		encoded[i] = e
	}
	return encoded, nil
}

// appendBatch stores the new records of a batch and notes that the batch is
// unreleased.
func (s *Store) appendBatch(ctx context.Context, request AppendRequest) (duplicates int, err error) {
	encoded, err := encodeAll(request.Records)
	if err != nil {
		return 0, err
	}
	keys := make([]key, len(encoded))
	for i, r := range request.Records {
		if len(s.vms.all()) >= maxVMs {
			return 0, &Error{Op: "append", Kind: Full, Err: errors.New("too many VM names")}
		}
		keys[i] = s.vms.key(r.Identity(), contentHash(encoded[i]))
	}
	held, err := s.lockWithHeld(ctx, keys)
	if err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.releaseBelow(request.Origin, request.Oldest)
	if request.Confirm {
		if o := s.unreleased[request.Origin]; o == nil || !o.has(request.Batch) {
			return 0, &Error{Op: "append", Kind: Stale}
		}
		return 0, nil
	}
	var added []int
	seen := make(map[key]bool, len(keys))
	for i, k := range keys {
		if _, ok := held[k]; ok || seen[k] {
			duplicates++
			continue
		}
		seen[k] = true
		added = append(added, i)
	}
	if err := s.write(request.Records, encoded, keys, added, held); err != nil {
		return 0, err
	}
	if s.unreleased[request.Origin] == nil {
		s.unreleased[request.Origin] = &unreleasedBatches{batches: make(map[uint64]batch)}
	}
	s.unreleased[request.Origin].add(request.Batch, s.newBatch(keys, held))
	return duplicates, nil
}

// lockWithHeld locks the store and returns those of keys that it holds. Index files
// are read before the lock is taken. If keys are given, it waits while too many closed
// segments have no index file.
func (s *Store) lockWithHeld(ctx context.Context, keys []key) (map[key]entry, error) {
	for {
		s.mu.Lock()
		if len(keys) > 0 {
			if err := s.awaitIndexed(ctx); err != nil {
				s.mu.Unlock()
				return nil, err
			}
		}
		if s.closed {
			s.mu.Unlock()
			return nil, &Error{Op: "append", Kind: Closed}
		}
		l := s.newLookup()
		s.mu.Unlock()
		held, err := l.find(keys)
		if err != nil {
			return nil, storeError("append", err)
		}
		s.mu.Lock()
		if !s.closed && len(s.sealed) == len(l.sealed) {
			for _, k := range keys {
				if e, ok := s.recentEntry(k); ok {
					held[k] = e
				}
			}
			return held, nil
		}
		s.mu.Unlock()
	}
}

// awaitIndexed waits until few enough closed segments have no index file. The lock
// must be held; it is released meanwhile.
func (s *Store) awaitIndexed(ctx context.Context) error {
	for len(s.recent)-1 >= maxUnindexed && !s.closed {
		if s.indexErr != nil {
			return &Error{Op: "append", Kind: Full, Err: fmt.Errorf("index of closed segments not written: %w", s.indexErr)}
		}
		if s.indexed == nil {
			s.indexed = make(chan struct{})
		}
		indexed := s.indexed
		s.mu.Unlock()
		select {
		case <-indexed:
		case <-ctx.Done():
		}
		s.mu.Lock()
		if err := ctx.Err(); err != nil {
			return storeError("append", err)
		}
	}
	return nil
}

// recentEntry returns the entry of a record whose index is in memory.
func (s *Store) recentEntry(k key) (entry, bool) {
	for _, x := range s.recent {
		if e, ok := x.get(k); ok {
			return e, true
		}
	}
	return entry{}, false
}

// write stores the records with the numbers in added and adds them to held.
func (s *Store) write(records []shrecord.Record, encoded [][]byte, keys []key, added []int, held map[key]entry) error {
	if len(added) == 0 {
		return nil
	}
	open := s.recent[len(s.recent)-1]
	if s.log == nil {
		if open.size+len(added) > s.options.MemoryRecords {
			return &Error{Op: "append", Kind: Full}
		}
		for _, i := range added {
			r := records[i]
			held[keys[i]] = entry{record: &r}
			open.put(keys[i], held[keys[i]])
		}
		return nil
	}
	payloads := make([][]byte, len(added))
	size := int64(0)
	for n, i := range added {
		payloads[n] = encoded[i]
		size += shsegment.Location{Length: uint32(len(encoded[i]))}.End() + entryBytes
	}
	if limit := s.options.MaxBytes; limit > 0 && s.bytes()+size > limit {
		return &Error{Op: "append", Kind: Full, Err: fmt.Errorf("the account has reached its bound of %d bytes", limit)}
	}
	locations, err := s.log.Append(payloads)
	if err != nil {
		return storeError("append", err)
	}
	if segment := locations[0].Segment; segment != open.segment {
		open = &index{segment: segment}
		s.recent = append(s.recent, open)
		s.startIndexing()
	}
	for n, i := range added {
		held[keys[i]] = entry{location: locations[n]}
		open.put(keys[i], held[keys[i]])
	}
	return nil
}

// syncLater syncs records that no caller waits for, after a short delay.
func (s *Store) syncLater() {
	if s.log == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.syncTimer != nil || s.closed {
		return
	}
	s.syncTimer = time.AfterFunc(s.options.SyncDelay, func() {
		s.mu.Lock()
		s.syncTimer = nil
		s.mu.Unlock()
		// The log keeps the error and returns it from all later calls.
		_ = s.log.Sync(context.Background(), s.log.Last())
	})
}

// Read returns a page of records in the order of export.
func (s *Store) Read(_ context.Context, request ReadRequest) (ReadResponse, error) {
	limit := request.Limit
	if limit <= 0 || limit > PageLimit {
		limit = PageLimit
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ReadResponse{}, &Error{Op: "read", Kind: Closed}
	}
	l := s.newLookup()
	s.mu.Unlock()
	page, err := l.page(request, limit)
	if err != nil {
		return ReadResponse{}, storeError("read", err)
	}
	var reader *shsegment.Reader
	if s.log != nil {
		reader = s.log.Reader()
		defer reader.Close()
	}
	response := ReadResponse{Done: len(page) < limit}
	names := s.vms.all()
	for _, p := range page {
		r, err := readRecord(reader, p.entry)
		if errors.Is(err, shsegment.ErrUnreadable) {
			response.Unreadable = append(response.Unreadable, names.identity(p.key))
			continue
		}
		if err != nil {
			return ReadResponse{}, storeError("read", err)
		}
		response.Records = append(response.Records, r)
	}
	if len(page) > 0 {
		last := page[len(page)-1].key
		response.Next = Cursor{Identity: names.identity(last), Content: last.content}
	}
	return response, nil
}

// readRecord returns the record of an entry. The reader is nil in a store without a
// data folder.
func readRecord(reader *shsegment.Reader, e entry) (shrecord.Record, error) {
	if e.record != nil {
		return *e.record, nil
	}
	payload, err := reader.Read(e.location)
	if err != nil {
		return shrecord.Record{}, err
	}
	var r shrecord.Record
	return r, json.Unmarshal(payload, &r)
}

// Close syncs and closes the store.
func (s *Store) Close() error {
	s.mu.Lock()
	s.closed = true
	if s.syncTimer != nil {
		s.syncTimer.Stop()
	}
	if s.indexTimer != nil {
		s.indexTimer.Stop()
	}
	s.notifyIndexed()
	s.mu.Unlock()
	s.tasks.Wait()
	if s.log == nil {
		return nil
	}
	if err := s.log.Close(); err != nil {
		return storeError("close", err)
	}
	return nil
}
