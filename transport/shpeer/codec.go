package shpeer

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

const (
	// minCompressBytes is the size in bytes from which messages are compressed.
	// Compression would save little on smaller ones.
	minCompressBytes = 1024
	// compressedFlag is the bit of the length that marks a compressed message.
	compressedFlag = 1 << 31
	// envelopeBytes is the allowance for the JSON-RPC fields around params and
	// results.
	envelopeBytes = 4096
)

// boundedCodec writes each JSON message after its length of four bytes, big
// endian. It compresses large messages, because links between regions have little
// bandwidth and traffic on them is expensive. It refuses a message over the limit
// before it allocates memory for the message.
type boundedCodec struct {
	maxBytes int
}

func (b boundedCodec) limit() int { return b.maxBytes + envelopeBytes }

// WriteObject implements jsonrpc2.ObjectCodec.
func (b boundedCodec) WriteObject(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(data) > b.limit() {
		return fmt.Errorf("message of %d bytes exceeds %d", len(data), b.limit())
	}
	flag := uint32(0)
	if len(data) >= minCompressBytes {
		packed, err := Compress(data)
		if err != nil {
			return err
		}
		if len(packed) < len(data) {
			data, flag = packed, compressedFlag
		}
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(data)), uint32(len(data))|flag)
	_, err = w.Write(append(frame, data...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (b boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	size, compressed, err := b.readLength(r)
	if err != nil {
		return err
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	if compressed {
		if data, err = Decompress(data, b.limit()); err != nil {
			return err
		}
	}
	return json.Unmarshal(data, v)
}

// readLength reads what is before a message.
func (b boundedCodec) readLength(r *bufio.Reader) (size int, compressed bool, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, false, err
	}
	length := binary.BigEndian.Uint32(head[:])
	size = int(length &^ compressedFlag)
	if size > b.limit() {
		return 0, false, fmt.Errorf("message of %d bytes exceeds %d", size, b.limit())
	}
	return size, length&compressedFlag != 0, nil
}

// flateWriters is a pool, because each writer takes about a megabyte.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// Compress returns data in the DEFLATE format.
func Compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&b)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Decompress reverses Compress and refuses a result of more than limit bytes.
func Decompress(packed []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("compressed message: %w", err)
	}
	if len(data) > limit {
		return nil, fmt.Errorf("compressed message of more than %d bytes", limit)
	}
	return data, nil
}
