package shstore

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shraft"
	"sequoiahollow/transport/shpeer"
)

// Guards against a notification that shpeer refuses as too large, which would
// stop replication for good.
func TestLargestNotification(t *testing.T) {
	largest := shraft.Message{Body: shraft.AppendRequest{Entries: []shraft.Entry{{Data: make([]byte, MaxProposalBytes)}}}}
	almost := shraft.Message{Body: shraft.SnapshotRequest{Data: make([]byte, maxSendBytes-1)}}
	queue := make(chan shraft.Message, senderQueueLength)
	for range senderQueueLength {
		queue <- largest
	}
	batch := collectBatch(almost, queue)
	assert.Equal(t, len(batch), 2)
	encoded, err := json.Marshal(messages{Messages: batch})
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) < shpeer.DefaultMaxMessageBytes/2, "%d bytes", len(encoded))
}
