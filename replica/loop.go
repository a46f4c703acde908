package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/internal/clock"
)

// tickInterval is how often the control goroutine looks at the time without an event. It
// is half the heartbeat interval of 50 ms; shorter ticks cost an idle VM mostly wake-ups.
const tickInterval = 25 * time.Millisecond

// inboxSize bounds the events that wait for the control goroutine.
const inboxSize = 16384

// ErrStopped is returned to callers whose event can no longer be handled.
var ErrStopped = errors.New("server has stopped")

// Loop runs functions on the control goroutine. That goroutine owns every raft node,
// and the state machines that they replicate; nothing else touches them.
type EventLoop struct {
	inbox  chan func()
	done   chan struct{}
	origin time.Duration // clock.SinceBoot at the start
}

// NewLoop returns a loop; Run starts it.
func NewEventLoop() *EventLoop {
	return &EventLoop{inbox: make(chan func(), inboxSize), done: make(chan struct{}), origin: clock.SinceBoot()}
}

// Now returns the time since the loop was made. It counts suspensions of the machine.
func (l *EventLoop) Now() time.Duration { return clock.SinceBoot() - l.origin }

// Done is closed when the loop has stopped.
func (l *EventLoop) Done() <-chan struct{} { return l.done }

// Post queues fn and reports false if the loop has stopped.
func (l *EventLoop) Post(fn func()) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.inbox <- fn:
		return true
	case <-l.done:
		return false
	}
}

// Call runs fn on the control goroutine and waits until it has returned.
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

// Every calls fn at each interval until ctx ends.
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

// Run handles events until ctx ends. After each batch of events and on each tick it
// calls step.
func (l *EventLoop) Run(ctx context.Context, step func(now time.Duration)) {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-l.inbox:
			fn()
			l.drainInbox()
		case <-ticker.C:
		}
		step(l.Now())
	}
}

// maxBatch bounds the events handled between two steps, so that heartbeats are not
// delayed by a long queue.
const maxBatch = 256

func (l *EventLoop) drainInbox() {
	for range maxBatch {
		select {
		case fn := <-l.inbox:
			fn()
		default:
			return
		}
	}
}
