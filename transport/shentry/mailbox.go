package shentry

import (
	"sync"

	"sequoiahollow/coordination/shrequest"
)

// mailbox is the unbounded queue of events for the goroutine of one machine.
type mailbox struct {
	signal chan struct{}

	mu     sync.Mutex
	events []shrequest.Event
	closed bool
}

func newMailbox() *mailbox { return &mailbox{signal: make(chan struct{}, 1)} }

// post adds an event, or drops it if the mailbox is closed.
func (m *mailbox) post(e shrequest.Event) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return
	}
	m.events = append(m.events, e)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// next waits for an event and removes it from the mailbox.
func (m *mailbox) next() shrequest.Event {
	for {
		m.mu.Lock()
		if len(m.events) > 0 {
			e := m.events[0]
			m.events = m.events[1:]
			m.mu.Unlock()
			return e
		}
		m.mu.Unlock()
		<-m.signal
	}
}

// close drops all events that are queued or posted later.
func (m *mailbox) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.events = nil
}
