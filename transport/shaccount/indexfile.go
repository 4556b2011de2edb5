package shaccount

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shaccount/internal/shsegment"
)

// An index file has the keys and locations of the records of one closed segment. It
// is derived from the segment. Numbers are little-endian:
//
//   - magic number (8 bytes), digest of the segment (8), number of records (8), of
//     chunks (4), and of bytes of the names (4), checksum of head (8)
//   - names of the VMs, a JSON array
//   - for each chunk: its number (8), the number of records before it (4) and in it
//     (4), checksum of its records (8)
//   - for each record, by chunk and in the order of export: request ID modulo
//     chunkIDs (2), rank of the kind (1), attempt (4), index of the VM in names (2),
//     content hash (8), offset (4) and length (4) in the segment
//
// Checksums are XXH64. That of the head covers everything before the records but
// itself.
const (
	indexSuffix = ".index"
	indexMagic  = 0x0100_7864_6e69_4853
	prefixBytes = 40
	chunkBytes  = 24
	entryBytes  = 25
	// maxHeadBytes bounds what a damaged prefix can make a reader allocate. A segment
	// of a fleet of 300 VMs has a head of some 10 KiB.
	maxHeadBytes = 64 << 20
)

var errIndexFile = errors.New("index file is damaged or belongs to another state of its segment")

// indexHead is the part of an index file before the records.
type indexHead struct {
	names   []shmodel.VM
	chunks  []chunkInfo
	records int
	// start is the offset of the first record.
	start int64
}

// chunkInfo says where the records of a chunk are.
type chunkInfo struct {
	number uint64
	// before is the number of records of earlier chunks.
	before, records uint32
	sum             uint64
}

// located is the key of a record and the place of the record in its segment.
type located struct {
	key
	at shsegment.Location
}

func indexName(first uint64) string { return fmt.Sprintf("%016x%s", first, indexSuffix) }

// encodeIndex encodes an index as a file for a segment with the given digest. It also
// returns the request IDs.
func encodeIndex(x *index, names vmNames, digest uint64) ([]byte, intervals, error) {
	var ids intervals
	local := make(map[uint16]uint16)
	var used []shmodel.VM
	var directory, records []byte
	for _, n := range x.order {
		keys := x.sorted(names, n)
		start := len(records)
		for _, k := range keys {
			ids = ids.extend(k.request)
			vm, ok := local[k.vm]
			if !ok {
				vm = uint16(len(used))
				local[k.vm] = vm
				used = append(used, names[k.vm])
			}
			at := x.chunks[n][k].location
			records = binary.LittleEndian.AppendUint16(records, uint16(k.request%chunkIDs))
			records = append(records, k.rank)
			records = binary.LittleEndian.AppendUint32(records, k.attempt)
			records = binary.LittleEndian.AppendUint16(records, vm)
			records = binary.LittleEndian.AppendUint64(records, k.content)
			records = binary.LittleEndian.AppendUint32(records, uint32(at.Offset))
			records = binary.LittleEndian.AppendUint32(records, at.Length)
		}
		directory = binary.LittleEndian.AppendUint64(directory, n)
		directory = binary.LittleEndian.AppendUint32(directory, uint32(start/entryBytes))
		directory = binary.LittleEndian.AppendUint32(directory, uint32(len(keys)))
		directory = binary.LittleEndian.AppendUint64(directory, xxhash.Sum64(records[start:]))
	}
	text, err := json.Marshal(used)
	if err != nil {
		return nil, nil, err
	}
	file := binary.LittleEndian.AppendUint64(nil, indexMagic)
	file = binary.LittleEndian.AppendUint64(file, digest)
	file = binary.LittleEndian.AppendUint64(file, uint64(x.size))
	file = binary.LittleEndian.AppendUint32(file, uint32(len(x.order)))
	file = binary.LittleEndian.AppendUint32(file, uint32(len(text)))
	rest := slices.Concat(text, directory)
	file = binary.LittleEndian.AppendUint64(file, headSum(file, rest))
	return slices.Concat(file, rest, records), ids, nil
}

func headSum(prefix, rest []byte) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.Write(prefix[:prefixBytes-8])
	_, _ = hash.Write(rest)
	return hash.Sum64()
}

// readFull reads exactly len(data) bytes.
func readFull(f io.ReaderAt, data []byte, offset int64) error {
	n, err := f.ReadAt(data, offset)
	if n == len(data) {
		return nil
	}
	return cmp.Or(err, io.ErrUnexpectedEOF)
}

// readHead reads the head of an index file. It fails unless the file was written for
// a segment with the given digest.
func readHead(f io.ReaderAt, digest uint64) (indexHead, error) {
	prefix := make([]byte, prefixBytes)
	if err := readFull(f, prefix, 0); err != nil {
		return indexHead{}, err
	}
	records := binary.LittleEndian.Uint64(prefix[16:])
	chunks, textBytes := int(binary.LittleEndian.Uint32(prefix[24:])), int(binary.LittleEndian.Uint32(prefix[28:]))
	if binary.LittleEndian.Uint64(prefix) != indexMagic || binary.LittleEndian.Uint64(prefix[8:]) != digest ||
		chunks*chunkBytes+textBytes > maxHeadBytes {
		return indexHead{}, errIndexFile
	}
	rest := make([]byte, textBytes+chunks*chunkBytes)
	if err := readFull(f, rest, prefixBytes); err != nil {
		return indexHead{}, err
	}
	if headSum(prefix, rest) != binary.LittleEndian.Uint64(prefix[32:]) {
		return indexHead{}, errIndexFile
	}
	h := indexHead{chunks: make([]chunkInfo, chunks), records: int(records), start: int64(prefixBytes + len(rest))}
	for i := range h.chunks {
		c := rest[textBytes+i*chunkBytes:]
		h.chunks[i] = chunkInfo{
			number: binary.LittleEndian.Uint64(c), before: binary.LittleEndian.Uint32(c[8:]),
			records: binary.LittleEndian.Uint32(c[12:]), sum: binary.LittleEndian.Uint64(c[16:]),
		}
	}
	return h, json.Unmarshal(rest[:textBytes], &h.names)
}

// next returns the first chunk at or after chunk.
func (h indexHead) next(chunk uint64) (chunkInfo, bool) {
	at, _ := slices.BinarySearchFunc(h.chunks, chunk, func(c chunkInfo, n uint64) int { return cmp.Compare(c.number, n) })
	if at == len(h.chunks) {
		return chunkInfo{}, false
	}
	return h.chunks[at], true
}

// readChunk reads the records of a chunk of the segment with the given number.
func (h indexHead) readChunk(f io.ReaderAt, c chunkInfo, segment uint32, vms *vmTable) ([]located, error) {
	data := make([]byte, int(c.records)*entryBytes)
	if err := readFull(f, data, h.start+int64(c.before)*entryBytes); err != nil {
		return nil, err
	}
	if xxhash.Sum64(data) != c.sum {
		return nil, errIndexFile
	}
	numbers := make([]uint16, len(h.names))
	for i, name := range h.names {
		numbers[i] = vms.number(name)
	}
	records := make([]located, c.records)
	for i := range records {
		e := data[i*entryBytes:]
		records[i] = located{
			key: key{
				request: shmodel.RequestID(c.number*chunkIDs + uint64(binary.LittleEndian.Uint16(e))), rank: e[2],
				attempt: binary.LittleEndian.Uint32(e[3:]), vm: numbers[binary.LittleEndian.Uint16(e[7:])],
				content: binary.LittleEndian.Uint64(e[9:]),
			},
			at: shsegment.Location{
				Segment: segment, Offset: int64(binary.LittleEndian.Uint32(e[17:])), Length: binary.LittleEndian.Uint32(e[21:]),
			},
		}
	}
	return records, nil
}

// writeFile replaces the content of a file and syncs it. On an error it leaves the
// file empty if it can, so that a full disk gets the space back.
func writeFile(folder shsegment.Folder, name string, data []byte) (err error) {
	f, err := folder.Open(name)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = f.Truncate(0)
		}
		err = errors.Join(err, f.Close())
	}()
	if err := f.Truncate(0); err != nil {
		return err
	}
	if _, err := f.WriteAt(data, 0); err != nil {
		return err
	}
	return f.Sync()
}
