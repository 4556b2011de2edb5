package shaccount

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shrecord"
)

// The files of testdata were written by the code of commit 4181267, the store
// with segments of storedSegmentBytes.
const storedSegmentBytes = 1500

// storedMessage is a message in its JSON form with the name of its type.
type storedMessage struct {
	Type string          `json:"type"`
	Body json.RawMessage `json:"body"`
}

// readStoredLines returns the lines of a file without their line ends.
func readStoredLines(t *testing.T, name string) [][]byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	assert.NilError(t, err)
	return bytes.Split(bytes.TrimSuffix(data, []byte("\n")), []byte("\n"))
}

// readStoredMessages returns the stored messages of type M.
func readStoredMessages[M any](t *testing.T, name string) (messages []M, encoded []string) {
	t.Helper()
	for _, line := range readStoredLines(t, "messages.jsonl") {
		var (
			stored  storedMessage
			message M
		)
		assert.NilError(t, json.Unmarshal(line, &stored))
		if stored.Type != name {
			continue
		}
		assert.NilError(t, json.Unmarshal(stored.Body, &message))
		messages = append(messages, message)
		encoded = append(encoded, string(stored.Body))
	}
	assert.Assert(t, len(messages) > 0)
	return messages, encoded
}

func openStored(t *testing.T, folder string) *Store {
	t.Helper()
	s, err := OpenStore(StoreOptions{Folder: folder, SegmentBytes: storedSegmentBytes})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s
}

// openStoredCopy opens a copy of the stored folder.
func openStoredCopy(t *testing.T) *Store {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "store")
	assert.NilError(t, os.CopyFS(folder, os.DirFS(filepath.Join("testdata", "store"))))
	return openStored(t, folder)
}

// assertExport checks that a store holds the records that the earlier build
// exported.
func assertExport(t *testing.T, s *Store) {
	t.Helper()
	want := readStoredLines(t, "export.jsonl")
	kinds := map[shrecord.Kind]bool{}
	for r, err := range Pages(t.Context(), ReadRequest{Limit: 3}, s.Read) {
		assert.NilError(t, err)
		encoded, err := r.Encode()
		assert.NilError(t, err)
		assert.Assert(t, len(want) > 0, "%s is not in the export", encoded)
		assert.Equal(t, string(encoded), string(want[0]))
		want = want[1:]
		kinds[r.Kind] = true
	}
	assert.Equal(t, len(want), 0)
	for _, k := range []shrecord.Kind{shrecord.Opened, shrecord.Attempted, shrecord.HandedOver, shrecord.Closed, shrecord.Refused} {
		assert.Assert(t, kinds[k], "no record of kind %s", k)
	}
}

// Guards against an account that an earlier build stored and this one reads only
// partly, because the segments or the records got another form.
func TestStoredAccount(t *testing.T) {
	s := openStoredCopy(t)
	report := s.OpenReport()
	assert.Equal(t, report.Entries, uint64(len(readStoredLines(t, "export.jsonl"))))
	assert.Equal(t, report.TornBytes, int64(0))
	assert.Equal(t, len(report.Damage), 0)
	assertExport(t, s)
}

// Guards against records that an outbox sends again after an update and that the
// account then holds twice, because their content hash changed.
func TestStoredRecordsAreDuplicates(t *testing.T) {
	s := openStoredCopy(t)
	requests, _ := readStoredMessages[AppendRequest](t, "AppendRequest")
	for _, r := range requests {
		if r.Confirm {
			continue
		}
		response, err := s.Append(t.Context(), r)
		assert.NilError(t, err)
		assert.Equal(t, response.Duplicates, len(r.Records))
	}
	assertExport(t, s)
}

// Guards against a reader of an earlier build that continues at a wrong record
// after an update, because a page or its cursor got another form.
func TestStoredPage(t *testing.T) {
	_, want := readStoredMessages[ReadResponse](t, "ReadResponse")
	page, err := openStoredCopy(t).Read(t.Context(), ReadRequest{Limit: 2})
	assert.NilError(t, err)
	got, err := json.Marshal(page)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want[0])
}

// Guards against segments that an earlier build cannot read after a downgrade:
// the stored batches must be written as the same bytes.
func TestStoredBatchesGiveStoredSegments(t *testing.T) {
	folder := t.TempDir()
	s := openStored(t, folder)
	requests, _ := readStoredMessages[AppendRequest](t, "AppendRequest")
	for _, r := range requests {
		_, err := s.Append(t.Context(), r)
		assert.NilError(t, err)
	}
	segments, err := os.ReadDir(filepath.Join("testdata", "store"))
	assert.NilError(t, err)
	assert.Assert(t, len(segments) > 1)
	for _, segment := range segments {
		want, err := os.ReadFile(filepath.Join("testdata", "store", segment.Name()))
		assert.NilError(t, err)
		got, err := os.ReadFile(filepath.Join(folder, segment.Name()))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, want), segment.Name())
	}
}

// assertStoredMessages checks that all stored messages of type M are unchanged
// after decoding and encoding.
func assertStoredMessages[M any](t *testing.T, name string) {
	t.Helper()
	messages, want := readStoredMessages[M](t, name)
	for i, m := range messages {
		got, err := json.Marshal(m)
		assert.NilError(t, err)
		assert.Equal(t, string(got), want[i])
	}
}

// Guards against VMs of an earlier and of this build that misread each other's
// messages during an update.
func TestStoredMessages(t *testing.T) {
	for name, check := range map[string]func(*testing.T, string){
		"AppendRequest":  assertStoredMessages[AppendRequest],
		"AppendResponse": assertStoredMessages[AppendResponse],
		"ReadRequest":    assertStoredMessages[ReadRequest],
		"ReadResponse":   assertStoredMessages[ReadResponse],
		"ReleaseRequest": assertStoredMessages[ReleaseRequest],
	} {
		t.Run(name, func(t *testing.T) { check(t, name) })
	}
}

// Guards against a refusal that VMs of an earlier and of this build understand
// differently, because a kind of errors got another value.
func TestStoredKinds(t *testing.T) {
	responses, _ := readStoredMessages[AppendResponse](t, "AppendResponse")
	stored := map[Kind]bool{}
	for _, r := range responses {
		stored[r.Refused] = true
	}
	for _, k := range []Kind{Invalid, Full, Failed, NoDisk, Stale, Closed, Unreachable, Canceled, Exhausted} {
		assert.Assert(t, stored[k], "no stored refusal of kind %s", k)
	}
}
