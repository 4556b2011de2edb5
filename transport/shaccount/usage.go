package shaccount

// Usage is what a store takes. Bytes and MaxBytes are those of its files, and zero
// without a folder. Refused counts the appends that were refused as Full since the
// store was opened, and Refusal is the error of the last one. IndexErr is the reason why an
// index file could not be written; it is tried again.
type Usage struct {
	Records   int
	Bytes     int64
	MaxBytes  int64
	Unindexed int
	Refused   uint64
	Refusal   error
	IndexErr  error
}

// Usage returns what the store takes.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Usage{Records: s.sealedRecords + s.recentRecords(), Refused: s.refused, Refusal: s.refusal, IndexErr: s.indexErr}
	if s.log != nil {
		u.Bytes, u.MaxBytes, u.Unindexed = s.bytes(), s.options.MaxBytes, len(s.recent)-1
	}
	return u
}

// bytes returns the size of the files, with that of the index files to come.
func (s *Store) bytes() int64 {
	return s.log.Bytes() + s.indexBytes + int64(s.recentRecords())*entryBytes
}
