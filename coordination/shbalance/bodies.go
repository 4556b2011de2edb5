package shbalance

const (
	// countedBody is the size, in bytes, from which the body of a request counts toward
	// the bytes in flight to a backend server.
	countedBody = 64 << 10
	// maxBodyBytes is the number of bytes in flight from this entry VM, in such bodies,
	// beyond which a backend server gets another one only if no other may get it. Backend
	// servers crash if what they hold exceeds their memory. Uploads of the deployments are
	// below 360 KB, so this is over 22 of them.
	maxBodyBytes = 8 << 20
)

// counted returns the bytes of a body that count.
func counted(bytes int64) int64 {
	if bytes < countedBody {
		return 0
	}
	return bytes
}

// hasRoom reports whether the body of a request fits the bytes in flight to a backend
// server. A body of any size fits if there is no other.
func (n *backendState) hasRoom(r Request) bool {
	more := counted(r.BodyBytes)
	return more == 0 || n.bodyBytes == 0 || n.bodyBytes+more <= maxBodyBytes
}

// beats reports whether a choice is better than another: one with room for the body
// before one without, then by loss.
func (c Choice) beats(other Choice) bool {
	if c.room != other.room {
		return c.room
	}
	return c.loss < other.loss
}

// equals reports whether neither of two choices beats the other.
func (c Choice) equals(other Choice) bool { return c.room == other.room && c.loss == other.loss }
