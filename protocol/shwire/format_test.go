package shwire_test

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/protocol/shwire"
)

// The files of testdata were written by the code of commit 4181267. In the
// messages, no field is zero.

func readStored(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	assert.NilError(t, err)
	return data
}

// assertMessage checks that a message of type M is unchanged after decoding and
// encoding.
func assertMessage[M any](t *testing.T, body []byte) {
	t.Helper()
	var m M
	assert.NilError(t, json.Unmarshal(body, &m))
	got, err := json.Marshal(m)
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(body))
}

var messageChecks = map[string]func(*testing.T, []byte){
	"ProposeRequest":     assertMessage[shwire.ProposeRequest],
	"ProposeResponse":    assertMessage[shwire.ProposeResponse],
	"ReadRequest":        assertMessage[shwire.ReadRequest],
	"ReadResponse":       assertMessage[shwire.ReadResponse],
	"SyncRequest":        assertMessage[shwire.SyncRequest],
	"SyncResponse":       assertMessage[shwire.SyncResponse],
	"NewsRequest":        assertMessage[shwire.NewsRequest],
	"CreditRequest":      assertMessage[shwire.CreditRequest],
	"CreditResponse":     assertMessage[shwire.CreditResponse],
	"SlotReport":         assertMessage[shwire.SlotReport],
	"CrashNotice":        assertMessage[shwire.CrashNotice],
	"LeaderHint":         assertMessage[shwire.LeaderHint],
	"Empty":              assertMessage[shwire.Empty],
	"Entries":            assertMessage[shwire.Entries],
	"Announcement":       assertMessage[shwire.Announcement],
	"AnnouncementAnswer": assertMessage[shwire.AnnouncementAnswer],
	"CancelAnswer":       assertMessage[shwire.CancelAnswer],
	"Problem":            assertMessage[shwire.Problem],
}

// Guards against processes of an earlier and of this build that misread each
// other's messages during an update, because a field got another JSON name.
func TestStoredMessages(t *testing.T) {
	found := map[string]bool{}
	for line := range bytes.Lines(readStored(t, "messages.jsonl")) {
		var stored struct {
			Type string          `json:"type"`
			Body json.RawMessage `json:"body"`
		}
		assert.NilError(t, json.Unmarshal(line, &stored))
		found[stored.Type] = true
		t.Run(stored.Type, func(t *testing.T) {
			check := messageChecks[stored.Type]
			assert.Assert(t, check != nil)
			check(t, stored.Body)
		})
	}
	assert.DeepEqual(t, slices.Sorted(maps.Keys(found)), slices.Sorted(maps.Keys(messageChecks)))
}

// Guards against callers, backend servers and processes of an earlier build that
// use a header, path, method or status that this build does not know.
func TestStoredNames(t *testing.T) {
	var stored map[string]string
	assert.NilError(t, json.Unmarshal(readStored(t, "names.json"), &stored))
	assert.DeepEqual(t, stored, map[string]string{
		"MethodPropose":       shwire.MethodPropose,
		"MethodRead":          shwire.MethodRead,
		"MethodSync":          shwire.MethodSync,
		"MethodNews":          shwire.MethodNews,
		"MethodCredit":        shwire.MethodCredit,
		"MethodSlots":         shwire.MethodSlots,
		"MethodCrash":         shwire.MethodCrash,
		"MethodAccountAppend": shwire.MethodAccountAppend,
		"MethodAccountRead":   shwire.MethodAccountRead,
		"MethodRelease":       shwire.MethodRelease,
		"MethodBurn":          shwire.MethodBurn,
		"HeaderService":       shwire.HeaderService,
		"HeaderRequestID":     shwire.HeaderRequestID,
		"HeaderAttempt":       shwire.HeaderAttempt,
		"HeaderOutcome":       shwire.HeaderOutcome,
		"HeaderTimeout":       shwire.HeaderTimeout,
		"HeaderDeadline":      shwire.HeaderDeadline,
		"HeaderKey":           shwire.HeaderKey,
		"HeaderIncarnation":   shwire.HeaderIncarnation,
		"HeaderReplayed":      shwire.HeaderReplayed,
		"PathEntries":         shwire.PathEntries,
		"PathAnnouncements":   shwire.PathAnnouncements,
		"PathForward":         shwire.PathForward,
		"PathRequests":        shwire.PathRequests,
		"CancelNotRun":        string(shwire.CancelNotRun),
		"CancelRunning":       string(shwire.CancelRunning),
		"CancelDone":          string(shwire.CancelDone),
		"CancelUnknown":       string(shwire.CancelUnknown),
		"ContentTypeProblem":  shwire.ContentTypeProblem,
	})
}
