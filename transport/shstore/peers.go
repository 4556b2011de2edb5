package shstore

import (
	"context"
	"time"

	"sequoiahollow/coordination/shraft"
	"sequoiahollow/transport/shpeer"
)

// Methods between stores.
const (
	methodMessage  = "raft.message"
	methodIdentity = "raft.identity"
	methodJoin     = "raft.join"
)

// messages is the body of a methodMessage notification. Address is the sender's.
type messages struct {
	Address  string           `json:"address"`
	Messages []shraft.Message `json:"messages"`
}

// identity is the answer to methodIdentity.
type identity struct {
	Member shraft.Member `json:"member"`
	// Empty says that the node never stored a term, a vote or an entry.
	Empty bool `json:"empty"`
}

// joinRequest asks for membership.
type joinRequest struct {
	Member shraft.Member `json:"member"`
	// Relayed says that another VM forwards the request, so that it is not
	// forwarded again.
	Relayed bool `json:"relayed,omitempty"`
}

// none is an empty request or answer.
type none struct{}

// registerHandlers registers the handlers of the store.
func (s *Store) registerHandlers() {
	shpeer.Handle(s.config.Server, methodMessage, func(_ context.Context, m messages) (none, error) {
		for _, message := range m.Messages {
			select {
			case s.inbox <- receivedMessage{address: m.Address, message: message}:
			default:
				// The inbox is full; Raft sends lost messages again.
			}
		}
		return none{}, nil
	})
	shpeer.Handle(s.config.Server, methodIdentity, func(ctx context.Context, _ none) (identity, error) {
		var answer identity
		err := s.Inspect(ctx, func() {
			answer = identity{Member: s.member(), Empty: s.isEmpty()}
		})
		return answer, err
	})
	shpeer.Handle(s.config.Server, methodJoin, func(ctx context.Context, r joinRequest) (none, error) {
		if err := s.Inspect(ctx, func() { s.recordJoiner(r.Member) }); err != nil || r.Relayed {
			return none{}, err
		}
		return none{}, s.relayJoin(ctx, r)
	})
}

func (s *Store) member() shraft.Member {
	return shraft.Member{ID: s.disk.meta.ID, Address: s.config.Address}
}

// isEmpty reports whether the node never stored a term, a vote or an entry. Only
// the owner goroutine may call it.
func (s *Store) isEmpty() bool {
	return s.disk.meta.State == shraft.HardState{} && s.nodeStatus.LastIndex == 0
}

// Limits of a sender.
const (
	// senderQueueLength bounds the messages that wait for a peer that is slow or
	// unreachable.
	senderQueueLength = 256
	// maxSendBytes is the size of entries and snapshot chunks at which a
	// notification is sent. The last message in it may exceed it.
	maxSendBytes = 512 << 10
	// sendTimeout is below the election timeout: later messages are of no use.
	sendTimeout = 500 * time.Millisecond
	// senderIdleTimeout is how long a sender without messages is kept.
	senderIdleTimeout = time.Minute
)

// sender sends messages to one address from its own goroutine, so that an
// unresponsive peer does not delay messages to the others.
type sender struct {
	queue  chan shraft.Message
	usedAt time.Time
}

// send queues a message, or drops it if the queue is full.
func (s *Store) send(m shraft.Message) {
	address := s.address(m.To)
	if address == "" {
		return
	}
	q := s.senders[address]
	if q == nil {
		q = &sender{queue: make(chan shraft.Message, senderQueueLength)}
		s.senders[address] = q
		s.workers.Add(1)
		go s.runSender(address, q.queue)
	}
	q.usedAt = time.Now()
	select {
	case q.queue <- m:
	default:
	}
}

// dropIdleSenders ends the senders of addresses that are not used any more.
func (s *Store) dropIdleSenders(now time.Time) {
	for address, q := range s.senders {
		if now.Sub(q.usedAt) > senderIdleTimeout {
			delete(s.senders, address)
			close(q.queue)
		}
	}
}

// runSender sends queued messages, several in one notification if they wait.
func (s *Store) runSender(address string, queue <-chan shraft.Message) {
	defer s.workers.Done()
	for {
		var first shraft.Message
		var ok bool
		select {
		case first, ok = <-queue:
		case <-s.ctx.Done():
		}
		if !ok {
			return
		}
		batch := collectBatch(first, queue)
		ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
		err := shpeer.Notify(ctx, s.config.Client, address, methodMessage, messages{Address: s.config.Address, Messages: batch})
		cancel()
		if err != nil {
			s.config.Logger.Debug("raft messages not sent", "address", address, "messages", len(batch), "error", err)
		}
	}
}

// collectBatch returns first and queued messages, until their size reaches
// maxSendBytes.
func collectBatch(first shraft.Message, queue <-chan shraft.Message) []shraft.Message {
	batch := []shraft.Message{first}
	size := messageBytes(first)
	for size < maxSendBytes {
		select {
		case m, ok := <-queue:
			if !ok {
				return batch
			}
			batch = append(batch, m)
			size += messageBytes(m)
		default:
			return batch
		}
	}
	return batch
}

func messageBytes(m shraft.Message) int {
	size := 0
	switch b := m.Body.(type) {
	case shraft.AppendRequest:
		for _, e := range b.Entries {
			size += len(e.Data)
		}
	case shraft.SnapshotRequest:
		size = len(b.Data)
	}
	return size
}
