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
	openReport shsegment.OpenReport

	mu    sync.Mutex
	index index
	// unreleased holds the unreleased batches of each origin.
	unreleased map[Origin]*unreleasedBatches
	syncTimer  *time.Timer
	closed     bool
}

// OpenStore opens a store. It truncates a torn tail and skips damage elsewhere;
// OpenReport lists both.
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
	if folder == nil {
		return s, nil
	}
	s.log, s.openReport, err = shsegment.Open(folder, options.SegmentBytes, s.load)
	if err != nil {
		return nil, &Error{Op: "open", Kind: Failed, Err: err}
	}
	return s, nil
}

// load adds a stored record to the index.
func (s *Store) load(at shsegment.Location, payload []byte) error {
	var r shrecord.Record
	if err := json.Unmarshal(payload, &r); err != nil {
		return fmt.Errorf("record has a valid checksum but cannot be decoded: %w", err)
	}
	s.index.put(s.index.key(r.Identity(), contentHash(payload)), entry{location: at})
	return nil
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
	return s.index.size
}

// Append stores all records of a batch or none. Records that are held already
// are not stored again, so a batch may be resent. Kinds of errors: Invalid, Full,
// Failed, NoDisk, Stale, Closed, Canceled.
func (s *Store) Append(ctx context.Context, request AppendRequest) (AppendResponse, error) {
	if request.Sync && s.log == nil {
		return AppendResponse{}, &Error{Op: "append", Kind: NoDisk}
	}
	duplicates, err := s.appendBatch(request)
	if err != nil {
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
func (s *Store) appendBatch(request AppendRequest) (duplicates int, err error) {
	encoded, err := encodeAll(request.Records)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, &Error{Op: "append", Kind: Closed}
	}
	s.releaseBelow(request.Origin, request.Oldest)
	if request.Confirm {
		if o := s.unreleased[request.Origin]; o == nil || o.batches[request.Batch] == nil {
			return 0, &Error{Op: "append", Kind: Stale}
		}
		return 0, nil
	}
	keys := make([]key, len(request.Records))
	added := make(map[key]int, len(keys))
	var payloads [][]byte
	for i, r := range request.Records {
		if len(s.index.names) >= maxVMs {
			return 0, &Error{Op: "append", Kind: Full, Err: errors.New("too many VM names")}
		}
		keys[i] = s.index.key(r.Identity(), contentHash(encoded[i]))
		if _, ok := added[keys[i]]; ok || s.index.has(keys[i]) {
			duplicates++
			continue
		}
		added[keys[i]] = i
		payloads = append(payloads, encoded[i])
	}
	if err := s.write(request.Records, keys, added, payloads); err != nil {
		return 0, err
	}
	if s.unreleased[request.Origin] == nil {
		s.unreleased[request.Origin] = &unreleasedBatches{batches: make(map[uint64][]key)}
	}
	s.unreleased[request.Origin].add(request.Batch, keys)
	return duplicates, nil
}

// write stores the records whose keys are in added, in the order of keys.
func (s *Store) write(records []shrecord.Record, keys []key, added map[key]int, payloads [][]byte) error {
	if len(payloads) == 0 {
		return nil
	}
	if s.log == nil {
		if s.index.size+len(payloads) > s.options.MemoryRecords {
			return &Error{Op: "append", Kind: Full}
		}
		for k, i := range added {
			r := records[i]
			s.index.put(k, entry{record: &r})
		}
		return nil
	}
	locations, err := s.log.Append(payloads)
	if err != nil {
		return storeError("append", err)
	}
	next := 0
	for i, k := range keys {
		if added[k] != i || s.index.has(k) {
			continue
		}
		s.index.put(k, entry{location: locations[next]})
		next++
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
	keys := s.index.page(request, limit)
	entries := make([]entry, len(keys))
	ids := make([]shrecord.Identity, len(keys))
	for i, k := range keys {
		entries[i], _ = s.index.get(k)
		ids[i] = s.index.identity(k)
	}
	s.mu.Unlock()
	response := ReadResponse{Done: len(keys) < limit}
	for i, e := range entries {
		r, err := s.record(e)
		if errors.Is(err, shsegment.ErrUnreadable) {
			response.Unreadable = append(response.Unreadable, ids[i])
			continue
		}
		if err != nil {
			return ReadResponse{}, storeError("read", err)
		}
		response.Records = append(response.Records, r)
	}
	if len(keys) > 0 {
		last := len(keys) - 1
		response.Next = Cursor{Identity: ids[last], Content: keys[last].content}
	}
	return response, nil
}

func (s *Store) record(e entry) (shrecord.Record, error) {
	if e.record != nil {
		return *e.record, nil
	}
	payload, err := s.log.Read(e.location)
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
	s.mu.Unlock()
	if s.log == nil {
		return nil
	}
	if err := s.log.Close(); err != nil {
		return storeError("close", err)
	}
	return nil
}
