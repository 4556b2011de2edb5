package shfront

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/transport/shorigin"
)

// streamFrom returns the length from which an answer is passed on while it
// arrives; zero means that all answers are held until they are complete.
func (x *exchange) streamFrom() int64 {
	if x.route.Download {
		return streamFrom
	}
	return 0
}

// deliverStream passes a long answer on to the caller while it arrives, and ends
// the request. If the answer breaks off, so does the caller's connection, so that
// a part of it is never taken for the whole.
func (x *exchange) deliverStream(c shbalance.Choice, r shorigin.Response, load *shbalance.Load) {
	defer r.Stream.Close()
	began := time.Now()
	x.writeHead(r, r.Length)
	n, readErr, writeErr := copyStream(x.writer, r.Stream)
	x.answerBytes = int(n)
	var seen shbalance.Observation = shbalance.Broken{}
	switch {
	case readErr == nil && writeErr == nil:
		seen = shbalance.Answered{Load: load, Connect: r.Connect, Transfer: time.Since(began)}
	case writeErr != nil, x.callerLeft():
		seen = shbalance.Canceled{}
	}
	x.handler.Balancer.Done(time.Now(), c, seen)
	switch {
	case writeErr != nil, x.callerLeft():
		x.finish(outcomeCanceled, 0, "the caller left")
		panic(http.ErrAbortHandler)
	case readErr != nil:
		x.logAttempt(c, "broke off", readErr)
		x.finish(outcomeUnknown, 0, "the answer broke off after "+strconv.FormatInt(n, 10)+" bytes")
		panic(http.ErrAbortHandler)
	}
	if x.view.CrashCounts[x.digest] > 0 {
		x.handler.Report(CrashReport{Digest: x.digest, Service: x.service, Cleared: true})
	}
	x.finishDelivered(c, r, load)
}

// copyStream copies the body of an answer in pieces, without holding any back.
// Unlike io.Copy it tells which side failed.
func copyStream(w http.ResponseWriter, r io.Reader) (n int64, readErr, writeErr error) {
	piece := make([]byte, streamPiece)
	control := http.NewResponseController(w)
	for {
		m, err := r.Read(piece)
		if m > 0 {
			if _, writeErr = w.Write(piece[:m]); writeErr == nil {
				writeErr = control.Flush()
			}
			if writeErr != nil {
				return n, nil, writeErr
			}
			n += int64(m)
		}
		if errors.Is(err, io.EOF) {
			return n, nil, nil
		}
		if err != nil {
			return n, err, nil
		}
	}
}
