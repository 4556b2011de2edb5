package shlog

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"slices"
)

// Formats. All numbers are little endian.
//
//	file:    data, checksum (4)
//	header:  magic (8), sequence (8), base (8), salt (8), flags (4), checksum (4)
//	frame:   magic (4), length of body (4), first index (8), records (4),
//	         checksum (4), body
//	body:    for each record: length (4), data
const (
	headerMagic = "shlog\x00v1"
	frameMagic  = 0x5e9f10a7
	headerBytes = 40
	frameBytes  = 24

	// flagReset in a header says that all earlier segments are obsolete.
	flagReset = 1

	// MaxBatchBytes bounds a batch: the bytes of its records and four for each.
	MaxBatchBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendChecksum(data []byte) []byte {
	return binary.LittleEndian.AppendUint32(slices.Clone(data), crc32.Checksum(data, castagnoli))
}

// verifyChecksum returns content without the checksum at its end, and whether the
// checksum matches.
func verifyChecksum(content []byte) ([]byte, bool) {
	if len(content) < 4 {
		return nil, false
	}
	data, sum := content[:len(content)-4], content[len(content)-4:]
	return data, binary.LittleEndian.Uint32(sum) == crc32.Checksum(data, castagnoli)
}

// header is the start of a segment.
type header struct {
	sequence uint64
	// base is the index of the next record when the segment was started.
	base  uint64
	salt  uint64
	flags uint32
}

func (h header) encode() []byte {
	b := make([]byte, 0, headerBytes)
	b = append(b, headerMagic...)
	b = binary.LittleEndian.AppendUint64(b, h.sequence)
	b = binary.LittleEndian.AppendUint64(b, h.base)
	b = binary.LittleEndian.AppendUint64(b, h.salt)
	b = binary.LittleEndian.AppendUint32(b, h.flags)
	return appendChecksum(b)
}

func decodeHeader(b []byte) (header, error) {
	if len(b) < headerBytes {
		return header{}, errors.New("segment header is incomplete")
	}
	b, ok := verifyChecksum(b[:headerBytes])
	if !ok {
		return header{}, errors.New("segment header: checksum does not match")
	}
	if string(b[:8]) != headerMagic {
		return header{}, errors.New("not a segment")
	}
	return header{
		sequence: binary.LittleEndian.Uint64(b[8:]),
		base:     binary.LittleEndian.Uint64(b[16:]),
		salt:     binary.LittleEndian.Uint64(b[24:]),
		flags:    binary.LittleEndian.Uint32(b[32:]),
	}, nil
}

// frame is one batch of records.
type frame struct {
	first   uint64
	records [][]byte
}

// next is the index after the last record.
func (f frame) next() uint64 { return f.first + uint64(len(f.records)) }

func bodyBytes(records [][]byte) int64 {
	size := int64(0)
	for _, r := range records {
		size += 4 + int64(len(r))
	}
	return size
}

func (f frame) encode(salt uint64, offset int64) []byte {
	body := bodyBytes(f.records)
	b := make([]byte, 0, frameBytes+body)
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(body))
	b = binary.LittleEndian.AppendUint64(b, f.first)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(f.records)))
	b = binary.LittleEndian.AppendUint32(b, 0)
	for _, r := range f.records {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	binary.LittleEndian.PutUint32(b[20:], frameChecksum(b, salt, offset))
	return b
}

// frameChecksum covers the salt, the offset of the frame in its segment, and the
// frame except the checksum itself.
func frameChecksum(b []byte, salt uint64, offset int64) uint32 {
	var s [16]byte
	binary.LittleEndian.PutUint64(s[:], salt)
	binary.LittleEndian.PutUint64(s[8:], uint64(offset))
	sum := crc32.Checksum(s[:], castagnoli)
	sum = crc32.Update(sum, castagnoli, b[:20])
	return crc32.Update(sum, castagnoli, b[frameBytes:])
}

// decodeFrame decodes the frame at the start of b, which is at the given offset
// of its segment, and returns its size. The records share memory with b.
func decodeFrame(b []byte, salt uint64, offset int64) (frame, int, error) {
	if len(b) < frameBytes {
		return frame{}, 0, errors.New("frame is incomplete")
	}
	if binary.LittleEndian.Uint32(b) != frameMagic {
		return frame{}, 0, errors.New("no frame starts here")
	}
	size := frameBytes + int64(binary.LittleEndian.Uint32(b[4:]))
	if size > int64(len(b)) {
		return frame{}, 0, errors.New("frame is incomplete")
	}
	b = b[:size]
	if binary.LittleEndian.Uint32(b[20:]) != frameChecksum(b, salt, offset) {
		return frame{}, 0, errChecksum
	}
	f := frame{first: binary.LittleEndian.Uint64(b[8:])}
	body := b[frameBytes:]
	for range binary.LittleEndian.Uint32(b[16:]) {
		if len(body) < 4 || int64(binary.LittleEndian.Uint32(body)) > int64(len(body)-4) {
			return frame{}, 0, errors.New("lengths of records exceed the frame")
		}
		length := 4 + int(binary.LittleEndian.Uint32(body))
		f.records = append(f.records, body[4:length:length])
		body = body[length:]
	}
	return f, int(size), nil
}

// findFrame returns the offset of the first intact frame at or after from in the
// segment b, or -1.
func findFrame(b []byte, from int, salt uint64) int {
	for i := from; i+frameBytes <= len(b); i++ {
		if _, _, err := decodeFrame(b[i:], salt, int64(i)); err == nil {
			return i
		}
	}
	return -1
}
