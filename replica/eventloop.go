package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/internal/clock"
)

// tickInterval is the interval at which the event loop runs without events. It is half the
// raft heartbeat interval of 50 ms. Shorter intervals would mostly add wake-ups on an idle
// VM.
const tickInterval = 25 * time.Millisecond

// maxQueuedEvents is the number of events that the queue of the event loop holds. Post
// blocks while the queue is full.
const maxQueuedEvents = 16384

// ErrStopped is returned by Call if the event loop has stopped.
var ErrStopped = errors.New("event loop has stopped")

// EventLoop runs functions on one goroutine, the event loop goroutine. That goroutine owns
// all raft nodes and the state machines that they replicate; no other goroutine accesses
// them.
type EventLoop struct {
	events chan func()
	done   chan struct{}
	origin time.Duration // clock.SinceBoot at the start
}

// NewEventLoop returns an event loop that handles no events until Run is called.
func NewEventLoop() *EventLoop {
	return &EventLoop{events: make(chan func(), maxQueuedEvents), done: make(chan struct{}), origin: clock.SinceBoot()}
}

// Now returns the time since NewEventLoop was called. It includes the time while the
// machine was suspended.
func (l *EventLoop) Now() time.Duration { return clock.SinceBoot() - l.origin }

// Done returns a channel that is closed when the event loop has stopped.
func (l *EventLoop) Done() <-chan struct{} { return l.done }

// Post queues fn. It blocks while the queue is full, and returns false if the event loop
// has stopped.
func (l *EventLoop) Post(fn func()) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.events <- fn:
		return true
	case <-l.done:
		return false
	}
}

// Call runs fn on the event loop goroutine and waits until it has returned. If the event
// loop stops first, Call returns ErrStopped. If ctx ends first, Call returns its error; fn
// may still run afterwards.
func (l *EventLoop) Call(ctx context.Context, fn func()) error {
	ran := make(chan struct{})
	if !l.Post(func() { fn(); close(ran) }) {
		return ErrStopped
	}
	select {
	case <-ran:
		return nil
	case <-l.done:
		return ErrStopped
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// Every calls fn once per interval until ctx ends. The first call is after one interval.
func Every(ctx context.Context, interval time.Duration, fn func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn()
		}
	}
}

// Run handles events until ctx ends. It calls afterBatch after each batch of events and on
// each tick.
func (l *EventLoop) Run(ctx context.Context, afterBatch func(now time.Duration)) {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-l.events:
			fn()
			l.drainEvents()
		case <-ticker.C:
		}
		afterBatch(l.Now())
	}
}

// maxEventsPerBatch limits the events that are handled between two calls of afterBatch, so
// that a long queue does not delay heartbeats.
const maxEventsPerBatch = 256

// drainEvents handles queued events until the queue is empty or maxEventsPerBatch is
// reached.
func (l *EventLoop) drainEvents() {
	for range maxEventsPerBatch {
		select {
		case fn := <-l.events:
			fn()
		default:
			return
		}
	}
}
