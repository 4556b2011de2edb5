package shentry

import (
	"time"

	"sequoiahollow/coordination/shrouting"
)

// movingAverage is an exponentially weighted moving average of durations. It starts
// anew after shrouting.ServiceTimeLifetime without a sample.
type movingAverage struct {
	average time.Duration
	at      time.Time // of the last sample
}

// averageWindow makes 1/32 the weight of each new sample, so that the last 32
// requests have most of the weight.
const averageWindow = 32

func (m *movingAverage) add(now time.Time, d time.Duration) {
	if m.average == 0 || now.Sub(m.at) > shrouting.ServiceTimeLifetime {
		m.average = d
	}
	m.average += (d - m.average) / averageWindow
	m.at = now
}
