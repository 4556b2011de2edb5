package shsteer

import (
	"context"
	"errors"
	"path/filepath"
	"time"

	"sequoiahollow/transport/shaccount"
	"sequoiahollow/transport/shleader"
)

// refusalQuiet is the time without a refusal after which the account store counts as
// taking batches again. Entry VMs try a store that refuses at least every 5 s.
const refusalQuiet = 15 * time.Second

// keepAccountOpen keeps the account store open until ctx ends. A store that has
// failed refuses records until it is opened again; meanwhile entry VMs send their
// records to other control VMs.
func (c *Control) keepAccountOpen(ctx context.Context) {
	for ctx.Err() == nil {
		store, err := shaccount.OpenStore(shaccount.StoreOptions{
			Folder: filepath.Join(c.Settings.DataFolder, "account"), MaxBytes: c.Settings.AccountBytes(),
		})
		if err != nil {
			c.Log.Error("account store not opened", "error", err)
			shleader.Pause(ctx, reopenPause)
			continue
		}
		registerAccountMethods(c.server, store)
		c.account.Store(store)
		watch := accountWatch{process: c.process}
		for ctx.Err() == nil && store.Err() == nil {
			watch.check(time.Now(), store.Usage())
			shleader.Pause(ctx, reopenPause)
		}
		watch.check(time.Now(), store.Usage())
		c.account.Store(nil)
		if err := errors.Join(store.Err(), store.Close()); err != nil {
			c.Log.Error("account store failed", "error", err)
		}
	}
}

// accountWatch logs and counts what an account store refuses, and logs index files
// that cannot be written.
type accountWatch struct {
	*process
	refused uint64
	// refusing is set from a refusal until refusalQuiet has passed without another,
	// last is the time of the last one.
	refusing  bool
	last      time.Time
	unindexed bool
}

func (w *accountWatch) check(now time.Time, u shaccount.Usage) {
	if u.Refused > w.refused {
		w.metrics.GetOrCreateCounter("sequoiahollow_account_refused_total").Add(int(u.Refused - w.refused))
		w.refused, w.last = u.Refused, now
		if !w.refusing {
			w.Log.Warn("account store refuses batches", "bytes", u.Bytes, "maxBytes", u.MaxBytes, "records", u.Records, "error", u.Refusal)
		}
		w.refusing = true
	}
	if w.refusing && now.Sub(w.last) >= refusalQuiet {
		w.refusing = false
		w.Log.Info("account store refuses no more batches", "refused", w.refused, "bytes", u.Bytes)
	}
	if unindexed := u.IndexErr != nil; unindexed != w.unindexed {
		w.unindexed = unindexed
		if unindexed {
			w.Log.Warn("index file of the account not written; trying again", "segments", u.Unindexed, "error", u.IndexErr)
		} else {
			w.Log.Info("index files of the account written")
		}
	}
}

// addAccountGauges adds gauges of the account store to the metrics of a control VM.
// They are 0 while it is not open.
func (c *Control) addAccountGauges() {
	gauge := func(name string, value func(shaccount.Usage) int64) {
		c.metrics.NewGauge(name, func() float64 {
			store := c.account.Load()
			if store == nil {
				return 0
			}
			return float64(value(store.Usage()))
		})
	}
	gauge("sequoiahollow_account_records", func(u shaccount.Usage) int64 { return int64(u.Records) })
	gauge("sequoiahollow_account_bytes", func(u shaccount.Usage) int64 { return u.Bytes })
	gauge("sequoiahollow_account_max_bytes", func(u shaccount.Usage) int64 { return u.MaxBytes })
	gauge("sequoiahollow_account_unindexed_segments", func(u shaccount.Usage) int64 { return int64(u.Unindexed) })
	// The counter is created here so that it is served before the first refusal.
	c.metrics.GetOrCreateCounter("sequoiahollow_account_refused_total")
}
