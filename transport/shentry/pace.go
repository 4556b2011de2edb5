package shentry

import (
	"errors"
	"io"
)

// paceChunk is the largest piece that is written after one call of pace.
const paceChunk = 16 << 10

// writePaced writes data in pieces of at most paceChunk. If pace is not nil, it
// is called before each piece and waits until the piece may be sent.
func writePaced(w io.Writer, data []byte, pace func(int) error) (int64, error) {
	var sent int64
	for len(data) > 0 {
		piece := data[:min(len(data), paceChunk)]
		data = data[len(piece):]
		if pace != nil {
			if err := pace(len(piece)); err != nil {
				return sent, err
			}
		}
		n, err := w.Write(piece)
		sent += int64(n)
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// copyPaced copies r to w with writePaced until the end of r.
func copyPaced(w io.Writer, r io.Reader, pace func(int) error) (int64, error) {
	buffer := make([]byte, paceChunk)
	var sent int64
	for {
		n, err := r.Read(buffer)
		m, writeErr := writePaced(w, buffer[:n], pace)
		sent += m
		if writeErr != nil {
			return sent, writeErr
		}
		if errors.Is(err, io.EOF) {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
	}
}
