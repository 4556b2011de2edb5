package shpeer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The files of testdata were written by the code of commit 4181267.

func readStored(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	assert.NilError(t, err)
	return data
}

// assertMessage checks that a message of type M is unchanged after decoding and
// encoding, and returns it.
func assertMessage[M any](t *testing.T, body []byte) M {
	t.Helper()
	var m M
	assert.NilError(t, json.Unmarshal(body, &m))
	got, err := json.Marshal(m)
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(body))
	return m
}

// readStoredBodies returns the stored messages by the names of their types.
func readStoredBodies(t *testing.T) map[string][]json.RawMessage {
	t.Helper()
	bodies := map[string][]json.RawMessage{}
	for line := range bytes.Lines(readStored(t, "messages.jsonl")) {
		var stored struct {
			Type string          `json:"type"`
			Body json.RawMessage `json:"body"`
		}
		assert.NilError(t, json.Unmarshal(line, &stored))
		bodies[stored.Type] = append(bodies[stored.Type], stored.Body)
	}
	return bodies
}

// Guards against peers of an earlier and of this build that lose deadlines or
// kinds of errors during an update, because a field or a kind got another name.
func TestStoredMessages(t *testing.T) {
	bodies := readStoredBodies(t)
	assert.Equal(t, len(bodies), 3)
	assert.Equal(t, methodPing, "peer.ping")
	assert.Equal(t, assertMessage[ping](t, bodies["ping"][0]).Address, "10.0.0.1:7402")
	assert.Equal(t, assertMessage[meta](t, bodies["meta"][0]).TimeoutMS, int64(1500))
	var kinds []Kind
	for _, body := range bodies["wireData"] {
		kinds = append(kinds, assertMessage[wireData](t, body).Kind)
	}
	assert.DeepEqual(t, kinds, []Kind{
		KindUnreachable, KindBusy, KindTooLarge, KindTimeout, KindClosed, KindMethod, KindInvalid, KindFailed,
	})
}

// Guards against peers of an earlier and of this build that cannot read each
// other's frames during an update, because their header or the compression
// changed. Only the first frame, which is not compressed, must be written as the
// same bytes.
func TestStoredFrames(t *testing.T) {
	frames := readStored(t, "frames")
	codec := boundedCodec{maxBytes: 1 << 20}
	reader := bufio.NewReader(bytes.NewReader(frames))
	for _, count := range []int{3, 400} {
		var got []string
		assert.NilError(t, codec.ReadObject(reader, &got))
		assert.DeepEqual(t, got, strings.Fields(strings.Repeat("word ", count)))
	}
	_, err := reader.ReadByte()
	assert.ErrorContains(t, err, "EOF")
	var written bytes.Buffer
	assert.NilError(t, codec.WriteObject(&written, []string{"word", "word", "word"}))
	assert.Assert(t, bytes.HasPrefix(frames, written.Bytes()))
}
