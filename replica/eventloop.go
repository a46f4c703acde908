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
	events  chan event
	done    chan struct{}
	origin  time.Duration // clock.SinceBoot at the start
	observe EventObserver // may be nil
}

// event is a queued function.
type event struct {
	kind     string
	fn       func()
	postedAt time.Time
}

// EventObserver is told how long each event waited for the event loop, and how long it took. Its
// kind is that of PostKind, or StepKind for a call of afterBatch. It is called on the event loop
// goroutine.
type EventObserver func(kind string, waited, took time.Duration)

// Kinds of event that are not named by PostKind.
const (
	StepKind  = "step"  // a call of afterBatch
	otherKind = "other" // an event of Post or Call
)

// NewEventLoop returns an event loop that handles no events until Run is called.
func NewEventLoop() *EventLoop {
	return &EventLoop{events: make(chan event, maxQueuedEvents), done: make(chan struct{}), origin: clock.SinceBoot()}
}

// SetObserver sets the observer of all events. It must be called before Run.
func (l *EventLoop) SetObserver(o EventObserver) { l.observe = o }

// Now returns the time since NewEventLoop was called. It includes the time while the
// machine was suspended.
func (l *EventLoop) Now() time.Duration { return clock.SinceBoot() - l.origin }

// Done returns a channel that is closed when the event loop has stopped.
func (l *EventLoop) Done() <-chan struct{} { return l.done }

// Post queues fn. It blocks while the queue is full, and returns false if the event loop
// has stopped.
func (l *EventLoop) Post(fn func()) bool { return l.PostKind(otherKind, fn) }

// PostKind is Post for an event of a kind that the observer distinguishes.
func (l *EventLoop) PostKind(kind string, fn func()) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.events <- event{kind, fn, time.Now()}:
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
		case e := <-l.events:
			l.handle(e, time.Now())
			l.drainEvents()
		case <-ticker.C:
		}
		began := time.Now()
		afterBatch(l.Now())
		l.report(StepKind, 0, time.Since(began))
	}
}

// handle runs an event that was taken from the queue at a time.
func (l *EventLoop) handle(e event, began time.Time) {
	e.fn()
	l.report(e.kind, began.Sub(e.postedAt), time.Since(began))
}

func (l *EventLoop) report(kind string, waited, took time.Duration) {
	if l.observe != nil {
		l.observe(kind, waited, took)
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
		case e := <-l.events:
			l.handle(e, time.Now())
		default:
			return
		}
	}
}
