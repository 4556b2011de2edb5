package shstore

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shraft"
	"sequoiahollow/transport/shlog"
	"sequoiahollow/transport/shpeer"
)

// The files of testdata were written by the code of commit 4181267: the folders
// member and single, of VMs named storedVM, the state that the code read from
// each folder, and one message between stores of every type.
const (
	storedVM      = "north-a-1"
	storedAddress = "127.0.0.1:7402"
)

// storedNode is the state of a node as the earlier build read it.
type storedNode struct {
	ID       shraft.ID
	State    shraft.HardState
	Snapshot shraft.Snapshot
	Entries  []shraft.Entry
}

func readStored(t *testing.T, name ...string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", filepath.Join(name...)))
	assert.NilError(t, err)
	return data
}

func readStoredNode(t *testing.T, folder string) storedNode {
	t.Helper()
	var node storedNode
	assert.NilError(t, json.Unmarshal(readStored(t, folder+".json"), &node))
	return node
}

func copyStored(t *testing.T, folder string) string {
	t.Helper()
	target := filepath.Join(t.TempDir(), folder)
	assert.NilError(t, os.CopyFS(target, os.DirFS(filepath.Join("testdata", folder))))
	return target
}

// assertNode opens a folder and checks that the node in it is as the earlier
// build read it.
func assertNode(t *testing.T, folder, name string) {
	t.Helper()
	d, stored, err := openDisk(shlog.OS{}, folder, storedVM)
	assert.NilError(t, err)
	assert.Equal(t, d.log.Torn(), int64(0))
	assert.NilError(t, d.log.Close())
	got, err := json.MarshalIndent(storedNode{
		ID: d.meta.ID, State: stored.State, Snapshot: stored.Snapshot, Entries: stored.Entries,
	}, "", "\t")
	assert.NilError(t, err)
	assert.Equal(t, string(got)+"\n", string(readStored(t, name+".json")))
}

// Guards against a node that votes twice in a term or loses entries after an
// update, because this build reads its folder in another way.
func TestStoredNodes(t *testing.T) {
	for _, name := range []string{"member", "single"} {
		t.Run(name, func(t *testing.T) { assertNode(t, copyStored(t, name), name) })
	}
}

// Guards against a folder that an earlier build cannot read after a downgrade:
// the stored state must give the stored bytes of meta and snapshot. The bytes of
// the log contain a random number, so that part is read again.
func TestStoredStateGivesStoredFiles(t *testing.T) {
	node := readStoredNode(t, "member")
	folder := t.TempDir()
	d, _, err := openDisk(shlog.OS{}, folder, storedVM)
	assert.NilError(t, err)
	d.meta.ID = node.ID
	assert.NilError(t, d.bootstrap(shraft.NewGroup(node.Snapshot.Membership.Voters, nil)))
	assert.NilError(t, d.persist(shraft.Persist{State: &node.State, Snapshot: &node.Snapshot, Entries: node.Entries}))
	assert.NilError(t, d.log.Close())
	for _, name := range []string{metaFile, snapshotFile} {
		got, err := os.ReadFile(filepath.Join(folder, name))
		assert.NilError(t, err)
		assert.Equal(t, string(got), string(readStored(t, "member", name)), name)
	}
	assertNode(t, folder, "member")
}

// joinedWords is a state machine that joins the words that it gets.
type joinedWords struct{ words []string }

func (j *joinedWords) Apply(_ uint64, _ time.Time, data []byte) []byte {
	j.words = append(j.words, string(data))
	return nil
}

func (j *joinedWords) Snapshot() ([]byte, error) { return []byte(strings.Join(j.words, " ")), nil }

func (j *joinedWords) Restore(data []byte) error {
	j.words = strings.Fields(string(data))
	return nil
}

// Guards against a group that does not start or has another state after an
// update. The store applies the entries after the snapshot once it is the leader.
func TestStoredGroupStarts(t *testing.T) {
	words := &joinedWords{}
	server, client := shpeer.NewServer(shpeer.Config{}), shpeer.NewClient(shpeer.Config{})
	s, err := Open(Config{
		VM: storedVM, Address: storedAddress, Folder: copyStored(t, "single"),
		Voters: []Peer{{VM: storedVM, Address: storedAddress}}, StateMachine: words, Server: server, Client: client,
	})
	assert.NilError(t, err)
	for end := time.Now().Add(20 * time.Second); !s.Status().Ready && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	status := s.Status()
	assert.NilError(t, s.Close())
	assert.NilError(t, client.Close())
	assert.NilError(t, server.Close())
	node := readStoredNode(t, "single")
	assert.Assert(t, status.Ready)
	assert.Equal(t, status.ID, node.ID)
	assert.Assert(t, status.Term > node.State.Term)
	assert.Equal(t, strings.Join(words.words, " "), "one two three four five six seven")
}

// assertMessage checks that a message of type M is unchanged after decoding and
// encoding.
func assertMessage[M any](t *testing.T, line []byte) {
	t.Helper()
	var m M
	assert.NilError(t, json.Unmarshal(line, &m))
	got, err := json.Marshal(m)
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(line))
}

// Guards against VMs of an earlier and of this build that cannot form a group
// during an update, because a message or a method got another name.
func TestStoredMessages(t *testing.T) {
	lines := bytes.Split(readStored(t, "messages.jsonl"), []byte("\n"))
	for i, c := range []struct {
		method, stored string
		check          func(*testing.T, []byte)
	}{
		{methodMessage, "raft.message", assertMessage[messages]},
		{methodIdentity, "raft.identity", assertMessage[identity]},
		{methodJoin, "raft.join", assertMessage[joinRequest]},
	} {
		assert.Equal(t, c.method, c.stored)
		c.check(t, lines[i])
	}
}
