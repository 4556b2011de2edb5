package shpeer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against large messages that are sent uncompressed over links with little
// bandwidth, and small ones that compression makes larger.
func TestLargeMessagesShrink(t *testing.T) {
	routes := make([]string, 2000)
	for i := range routes {
		routes[i] = fmt.Sprintf("route-%d.example/prefix/%d/", i, i*7919)
	}
	for _, c := range []struct {
		message []string
		most    int
	}{{routes[:4], 200}, {routes, 20 << 10}} {
		var wire bytes.Buffer
		codec := boundedCodec{maxBytes: 1 << 20}
		assert.NilError(t, codec.WriteObject(&wire, c.message))
		assert.Assert(t, wire.Len() < c.most, "%d routes take %d bytes", len(c.message), wire.Len())
		var got []string
		assert.NilError(t, codec.ReadObject(bufio.NewReader(&wire), &got))
		assert.DeepEqual(t, got, c.message)
	}
}

// Guards against a small compressed message that exhausts the memory of its
// receiver when it is decompressed.
func TestCompressedMessageIsBounded(t *testing.T) {
	packed, err := Compress([]byte(`"` + strings.Repeat("0", 1<<20) + `"`))
	assert.NilError(t, err)
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(packed))|compressedFlag)
	var got string
	err = boundedCodec{maxBytes: 64 << 10}.ReadObject(bufio.NewReader(bytes.NewReader(append(frame, packed...))), &got)
	assert.ErrorContains(t, err, "more than")
	frame = binary.BigEndian.AppendUint32(nil, 4|compressedFlag)
	err = boundedCodec{maxBytes: 64 << 10}.ReadObject(bufio.NewReader(bytes.NewReader(append(frame, 1, 2, 3, 4))), &got)
	assert.Assert(t, err != nil)
}
