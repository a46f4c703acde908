package server

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// tickInterval is how often the control goroutine looks at the time without an event. It
// is half the heartbeat interval of 50 ms; shorter ticks cost an idle VM mostly wake-ups.
const tickInterval = 25 * time.Millisecond

// inboxSize bounds the events that wait for the control goroutine.
const inboxSize = 16384

// errStopped is returned to callers whose event can no longer be handled.
var errStopped = errors.New("server has stopped")

// loop runs functions on the control goroutine. That goroutine owns every raft node,
// the control state, and every partition core; nothing else touches them.
type loop struct {
	inbox  chan func()
	done   chan struct{}
	origin time.Time
}

func newLoop() *loop {
	return &loop{inbox: make(chan func(), inboxSize), done: make(chan struct{}), origin: time.Now()}
}

// now returns the time since the process's monotonic origin.
func (l *loop) now() time.Duration { return time.Since(l.origin) }

// post queues fn and reports false if the loop has stopped.
func (l *loop) post(fn func()) bool {
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

// call runs fn on the control goroutine and waits until it has returned.
func (l *loop) call(ctx context.Context, fn func()) error {
	ran := make(chan struct{})
	if !l.post(func() { fn(); close(ran) }) {
		return errStopped
	}
	select {
	case <-ran:
		return nil
	case <-l.done:
		return errStopped
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// every calls fn at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, fn func()) {
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

// run handles events until ctx ends. After each batch of events and on each tick it
// calls step.
func (l *loop) run(ctx context.Context, step func(now time.Duration)) {
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
		step(l.now())
	}
}

// maxBatch bounds the events handled between two steps, so that heartbeats are not
// delayed by a long queue.
const maxBatch = 256

func (l *loop) drainInbox() {
	for range maxBatch {
		select {
		case fn := <-l.inbox:
			fn()
		default:
			return
		}
	}
}
