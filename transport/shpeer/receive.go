package shpeer

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"sequoiahollow/coordination/shmemory"
	"sequoiahollow/state/shdocument"
)

const (
	// readStep is the first step in which a message is read. Each further step doubles
	// what has been read, so that a message that is only announced takes no memory.
	readStep = 16 << 10
	// messageRate is the rate, in bytes per second, at which a message must arrive
	// after messageStart.
	messageRate  = 64 << 10
	messageStart = 5 * time.Second
	// elementBytes is the memory that an element of a list takes when parameters are
	// decoded, and a list or an object that is a member of an object. An empty account
	// record, the largest, has some 300 bytes. nestedBytes is what is added for a list
	// or an object in a list, and memberBytes for a member of an object.
	elementBytes = 256
	nestedBytes  = 64
	memberBytes  = 32
	// maxMethod, maxID and maxMeta bound the members of a message but its parameters,
	// in bytes of JSON.
	maxMethod = 256
	maxID     = 64
	maxMeta   = 1024
	// maxNesting is the nesting beyond which encoding/json refuses a text.
	maxNesting = 10000
)

// received is a message from a peer.
type received struct {
	params  json.RawMessage
	request *shmemory.Request
}

// end gives back what was held for the message.
func (m received) end() { m.request.End(time.Now()) }

// serverCodec is the codec of accepted connections, on which requests arrive and no
// answers. It takes memory for a message step by step. It passes the parameters to the
// handler by itself: jsonrpc2 would decode them to a generic value first, which takes
// many times their memory.
type serverCodec struct {
	boundedCodec
	handler *serverHandler
}

// ReadObject implements jsonrpc2.ObjectCodec. After an error the connection is closed.
func (s serverCodec) ReadObject(r *bufio.Reader, v any) error {
	size, compressed, err := s.readLength(r)
	if err != nil {
		return err
	}
	conn := s.handler.conn
	request, err := conn.hold.Start(time.Now(), true)
	if err != nil {
		return err
	}
	within := messageStart + time.Duration(size)*time.Second/messageRate
	conn.messageEnd.Store(time.Now().Add(within).UnixNano())
	defer conn.messageEnd.Store(0)
	message, params, err := s.receive(io.LimitReader(r, int64(size)), size, compressed, request)
	if err == nil {
		err = json.Unmarshal(message, v)
	}
	if err != nil {
		request.End(time.Now())
		return err
	}
	s.handler.received = received{params: params, request: request}
	return nil
}

// receive reads a message and returns it without its parameters, and those.
func (s serverCodec) receive(r io.Reader, size int, compressed bool, request *shmemory.Request) (message []byte, params json.RawMessage, err error) {
	data, err := readSteps(r, size, request)
	if err == nil && len(data) < size {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, nil, err
	}
	if !request.Serving() {
		return nil, nil, errors.New("the connection was given up")
	}
	if compressed {
		if data, err = readSteps(flate.NewReader(bytes.NewReader(data)), s.limit()+1, request); err != nil {
			return nil, nil, err
		}
		request.Release(shmemory.Bodies, int64(size))
		if len(data) > s.limit() {
			return nil, nil, fmt.Errorf("compressed message of more than %d bytes", s.limit())
		}
	}
	if err := request.Reserve(time.Now(), shmemory.Bodies, int64(len(data))+decodedBytes(data)); err != nil {
		return nil, nil, err
	}
	return split(data)
}

// readSteps reads up to size bytes or to the end.
func readSteps(r io.Reader, size int, request *shmemory.Request) ([]byte, error) {
	var data []byte
	for {
		next := min(max(2*len(data), readStep), size)
		if err := request.Reserve(time.Now(), shmemory.Bodies, int64(next)); err != nil {
			return nil, err
		}
		grown := make([]byte, next)
		have := copy(grown, data)
		request.Release(shmemory.Bodies, int64(cap(data)))
		n, err := io.ReadFull(r, grown[have:])
		data = grown[:have+n]
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), err == nil && len(data) == size:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// split returns a message without its parameters, and those, "null" if it has none.
func split(data []byte) (message []byte, params json.RawMessage, err error) {
	var m struct {
		Version json.RawMessage `json:"jsonrpc,omitempty"`
		ID      json.RawMessage `json:"id,omitempty"`
		Method  json.RawMessage `json:"method,omitempty"`
		Meta    json.RawMessage `json:"meta,omitempty"`
		Params  json.RawMessage `json:"params,omitempty"`
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, nil, err
	}
	if len(m.Method) > maxMethod || len(m.ID) > maxID || len(m.Meta) > maxMeta || len(m.Version) > maxID {
		return nil, nil, errors.New("a member of the message is too long")
	}
	params, m.Params = m.Params, nil
	if params == nil {
		params = json.RawMessage("null")
	}
	message, err = json.Marshal(m)
	return message, params, err
}

// decodedBytes returns a bound on the memory that the values of a JSON text take beside
// their text when they are decoded.
func decodedBytes(data []byte) (n int64) {
	var lists []bool // whether what encloses the current byte is a list
	for c := range shdocument.Structure(data) {
		switch {
		case c == '{', c == '[':
			if len(lists) > 0 && lists[len(lists)-1] {
				n += nestedBytes
			} else {
				n += elementBytes
			}
			if lists = append(lists, c == '['); len(lists) > maxNesting {
				return n
			}
		case (c == '}' || c == ']') && len(lists) > 0:
			lists = lists[:len(lists)-1]
		case c == ',' && len(lists) > 0 && lists[len(lists)-1]:
			n += elementBytes
		case c == ',':
			n += memberBytes
		}
	}
	return n
}
