package shsteer

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shaccount"
)

// Guards against an account that reaches its bound without a log line or metric, or
// with a line per refusal.
func TestFullAccountIsVisible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log, metrics bytes.Buffer
		c := &Control{process: newProcess(shsettings.Fleet{DataFolder: t.TempDir(), AccountMB: 1}, slog.New(slog.NewTextHandler(&log, nil)))}
		c.addAccountGauges()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.keepAccountOpen(ctx)
		}()
		synctest.Wait()
		refused := 0
		for i := range uint64(300) {
			r, err := c.account.Load().HandleAppend(t.Context(), shaccount.AppendRequest{Batch: i, Oldest: i, Records: []shrecord.Record{{
				RequestID: shmodel.RequestID(i + 1), Kind: shrecord.Opened, VM: "edge-1", At: time.Unix(1_700_000_000, 0),
				Service: "records", Path: strings.Repeat("x", 5000),
			}}})
			assert.NilError(t, err)
			if r.Refused == shaccount.Full {
				refused++
			}
		}
		time.Sleep(2 * reopenPause)
		assert.Assert(t, refused > 50 && refused < 150)
		c.metrics.WritePrometheus(&metrics)
		assert.Assert(t, strings.Contains(metrics.String(), "sequoiahollow_account_max_bytes 1048576\n"), metrics.String())
		assert.Equal(t, c.metrics.GetOrCreateCounter("sequoiahollow_account_refused_total").Get(), uint64(refused))
		time.Sleep(2 * refusalQuiet)
		cancel()
		<-done
		assert.Equal(t, strings.Count(log.String(), "account store refuses batches"), 1, log.String())
		assert.Equal(t, strings.Count(log.String(), "account store refuses no more batches"), 1)
	})
}
