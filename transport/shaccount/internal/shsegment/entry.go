package shsegment

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/cespare/xxhash/v2"
)

// An entry is a header and a payload. The header is the magic number (4 bytes),
// the length of the payload (4), the sequence number (8) and the CRC-32C of
// length, sequence number and payload (4), little-endian.
const (
	headerBytes = 20
	// maxPayloadBytes bounds the payload, and thereby the number of bytes that a
	// damaged length can make a reader skip.
	maxPayloadBytes = 1 << 20
)

// magic starts each entry. It is not valid UTF-8, so that it does not occur in
// JSON payloads and a reader finds the next entry after damage.
var magic = []byte{0xf5, 'S', 'H', 0xfe}

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[4:16], castagnoliTable), castagnoliTable, payload)
}

func appendEntry(buffer []byte, sequence uint64, payload []byte) []byte {
	var header [headerBytes]byte
	copy(header[:], magic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[8:], sequence)
	binary.LittleEndian.PutUint32(header[16:], checksum(header[:], payload))
	buffer = append(buffer, header[:]...)
	return append(buffer, payload...)
}

// decodeEntry reads the entry at the start of data.
func decodeEntry(data []byte) (sequence uint64, payload []byte, ok bool) {
	if len(data) < headerBytes || !bytes.Equal(data[:4], magic) {
		return 0, nil, false
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	if length > maxPayloadBytes || len(data) < headerBytes+length {
		return 0, nil, false
	}
	payload = data[headerBytes : headerBytes+length]
	if binary.LittleEndian.Uint32(data[16:]) != checksum(data, payload) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(data[8:]), payload, true
}

// scanResult is the result of reading a whole segment.
type scanResult struct {
	// next is the sequence number after the last intact entry.
	next uint64
	// end is the offset after the last intact entry.
	end     int64
	entries uint64
	digest  *digester
	damage  []Damage
}

// digester computes the digest of a segment from the offsets and headers of its
// entries. The headers have the checksums of the payloads.
type digester struct{ hash xxhash.Digest }

func newDigester() *digester {
	d := new(digester)
	d.hash.Reset()
	return d
}

// add adds the entry that starts at offset with the given header.
func (d *digester) add(offset int64, header []byte) {
	_, _ = d.hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(offset)))
	_, _ = d.hash.Write(header[:headerBytes])
}

func (d *digester) sum() uint64 { return d.hash.Sum64() }

// window reads a segment piece by piece, so that a scan takes little memory
// whatever the size of the segment.
type window struct {
	file  io.ReaderAt
	size  int64
	start int64
	data  []byte
}

// windowBytes must be several times the size of the largest entry.
const windowBytes = 4 << 20

// at returns the bytes from offset on: at least the largest entry, or all that is
// left of the segment. They are valid until the next call.
func (w *window) at(offset int64) ([]byte, error) {
	end := w.start + int64(len(w.data))
	if offset >= w.start && (end == w.size || offset+headerBytes+maxPayloadBytes <= end) {
		return w.data[min(offset-w.start, int64(len(w.data))):], nil
	}
	if w.data == nil {
		w.data = make([]byte, min(w.size, windowBytes))
	}
	w.start, w.data = offset, w.data[:min(w.size-offset, int64(cap(w.data)))]
	if n, err := w.file.ReadAt(w.data, offset); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	} else if n < len(w.data) {
		return nil, fmt.Errorf("segment ends at %d, not at %d: %w", offset+int64(n), w.size, io.ErrUnexpectedEOF)
	}
	return w.data, nil
}

// nextMagic returns the offset of the first magic number at or after offset, or -1.
func (w *window) nextMagic(offset int64) (int64, error) {
	for offset < w.size {
		data, err := w.at(offset)
		if err != nil {
			return 0, err
		}
		if skip := bytes.Index(data, magic); skip >= 0 {
			return offset + int64(skip), nil
		}
		// A magic number may begin in the last bytes of the window.
		offset += max(1, int64(len(data)-len(magic)+1))
	}
	return -1, nil
}

// scanSegment visits the intact entries of a segment, whose first one should have
// sequence number first. Bytes between intact entries are damage; bytes after
// the last one are not reported; the caller decides whether they are damage or a
// torn tail. The payload is valid during the visit only.
func scanSegment(file io.ReaderAt, size int64, first uint64, visit func(offset int64, payload []byte) error) (scanResult, error) {
	s, w := scanResult{next: first, digest: newDigester()}, window{file: file, size: size}
	for offset := int64(0); offset < size; {
		start := offset
		data, err := w.at(offset)
		if err != nil {
			return s, err
		}
		sequence, payload, ok := decodeEntry(data)
		for !ok || sequence < s.next {
			offset, err = w.nextMagic(offset + 1)
			if err != nil || offset < 0 {
				return s, err
			}
			if data, err = w.at(offset); err != nil {
				return s, err
			}
			sequence, payload, ok = decodeEntry(data)
		}
		if offset > start || sequence > s.next {
			s.damage = append(s.damage, Damage{
				Offset: start, Bytes: offset - start,
				FirstSequence: s.next, Entries: sequence - s.next,
			})
		}
		s.digest.add(offset, data)
		if err := visit(offset, payload); err != nil {
			return s, err
		}
		offset += int64(headerBytes + len(payload))
		s.next, s.end = sequence+1, offset
		s.entries++
	}
	return s, nil
}
