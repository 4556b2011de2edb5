package shorigin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sequoiahollow/coordination/shlimit"
)

const (
	// bodyLinkShare is the share of the VM's link that long bodies may take, so that a
	// short message does not wait behind all of them.
	bodyLinkShare = 0.8
	// linkPiece is the size of the pieces, in bytes, in which a long body is written. One
	// takes 25 ms on a link of 2.6 Mbit/s, the slowest of the example deployments.
	linkPiece = 8 << 10
	// burstAhead is what may be on its way ahead of a message, in bytes, in each
	// direction: the bodies of two callers, as much as their windows take at once.
	burstAhead = 128 << 10
	// maxDialTimeout bounds the time to open a connection over a slow link. TCP repeats a
	// lost opening packet after a second.
	maxDialTimeout = 900 * time.Millisecond
)

// Link is the network link of the VM. The zero value stands for one that is never short.
type Link struct {
	// BitsPerSecond is its bandwidth, zero for no bound.
	BitsPerSecond int64

	// uploads says that callers send long bodies.
	uploads atomic.Bool
	mu      sync.Mutex
	bucket  shlimit.TokenBucket
	limited bool
}

// SetUploads says whether callers send long bodies. Without them nothing is paced.
func (l *Link) SetUploads(uploads bool) { l.uploads.Store(uploads) }

// dialTimeout returns the time to open a connection: an opening packet may wait behind
// long bodies, which does not mean that the backend server cannot be reached.
func (l *Link) dialTimeout() time.Duration {
	if l.BitsPerSecond <= 0 || !l.uploads.Load() {
		return dialTimeout
	}
	ahead := time.Duration(float64(burstAhead*8) / float64(l.BitsPerSecond) * float64(time.Second))
	return min(dialTimeout+ahead, maxDialTimeout)
}

// take takes n bytes, a piece at most, or returns the pause after which to try again.
// It does not take a part of them: small packets would fill the link with their heads.
func (l *Link) take(now time.Time, n int) (pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited {
		l.limited = true
		l.bucket.SetLimit(now, int64(bodyLinkShare*float64(l.BitsPerSecond)))
	}
	if pause, _ := l.bucket.Wait(now, int64(n)); pause > 0 {
		return max(pause, time.Millisecond)
	}
	l.bucket.Take(now, int64(n))
	return 0
}

// write writes a long message at the pace of the link.
func (l *Link) write(c net.Conn, message net.Buffers) error {
	if l.BitsPerSecond <= 0 || !l.uploads.Load() {
		_, err := message.WriteTo(c)
		return err
	}
	for _, p := range message {
		for len(p) > 0 {
			n := min(len(p), linkPiece)
			if pause := l.take(time.Now(), n); pause > 0 {
				time.Sleep(pause)
				continue
			}
			if _, err := c.Write(p[:n]); err != nil {
				return err
			}
			p = p[n:]
		}
	}
	return nil
}
