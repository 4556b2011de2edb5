package shsegment

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
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
	end    int64
	damage []Damage
}

// scanSegment visits the intact entries of data, whose first one should have
// sequence number first. Bytes between intact entries are damage; bytes after
// the last one are not reported; the caller decides whether they are damage or a
// torn tail.
func scanSegment(data []byte, first uint64, visit func(offset int64, payload []byte) error) (scanResult, error) {
	s := scanResult{next: first}
	for offset := 0; offset < len(data); {
		start := offset
		sequence, payload, ok := decodeEntry(data[offset:])
		for !ok || sequence < s.next {
			skip := bytes.Index(data[offset+1:], magic)
			if skip < 0 {
				return s, nil
			}
			offset += 1 + skip
			sequence, payload, ok = decodeEntry(data[offset:])
		}
		if offset > start || sequence > s.next {
			s.damage = append(s.damage, Damage{
				Offset: int64(start), Bytes: int64(offset - start),
				FirstSequence: s.next, Entries: sequence - s.next,
			})
		}
		if err := visit(int64(offset), payload); err != nil {
			return s, err
		}
		offset += headerBytes + len(payload)
		s.next, s.end = sequence+1, int64(offset)
	}
	return s, nil
}
