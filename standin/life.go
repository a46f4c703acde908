package standin

import (
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// rememberFor is how long a refused attempt, or one whose end was acknowledged, is
// remembered. A dispatch expires long before.
const rememberFor = 10 * time.Minute

// errDead means that the incarnation has ended; its calls get no answer.
var errDead = errors.New("standin: incarnation has ended")

// life is one incarnation of a worker: all that a restart without memory loses.
type life struct {
	cfg         Config
	faults      *faultSwitch
	journal     *journal
	incarnation string
	origin      time.Time // of the monotonic clock
	dead        chan struct{}

	mu      sync.Mutex // guards the fields below
	changed chan struct{}
	// recalls is true if the journal was read at the start, so that an attempt that
	// is not known was never started by a former incarnation either.
	recalls    bool
	owner      string // partition of the newest accepted sync or dispatch
	epochs     map[string]uint64
	leaseEnd   int64 // token at which the tasks are stopped
	leaseTimer *time.Timer
	leaving    bool
	// leavingSent is the token of the newest answer that said leaving.
	leavingSent int64
	syncedAt    int64 // token of the newest accepted sync, 0 before the first
	tasks       map[api.TaskID]*task
	inUse       api.Resources
	running     int
	forgotten   time.Time // of the newest removal of old tasks
}

// task is an attempt that the worker knows.
type task struct {
	dispatch api.Dispatch
	program  program
	state    taskState
	started  time.Time
	timer    *time.Timer
	end      api.TaskEnd
	// reported is true while the end has to be sent in each sync; sent is the token
	// of the newest answer that held it.
	reported bool
	sent     int64
	closedAt time.Time
}

type taskState int

const (
	taskRunning taskState = iota
	taskEnded
	taskRefused
)

func newLife(cfg Config, faults *faultSwitch, j *journal) (*life, error) {
	b := make([]byte, 8)
	if _, err := rand.Read(b); err != nil {
		return nil, errors.Wrap(err, "random incarnation")
	}
	l := &life{
		cfg:         cfg,
		faults:      faults,
		journal:     j,
		incarnation: hex.EncodeToString(b),
		origin:      time.Now(),
		dead:        make(chan struct{}),
		changed:     make(chan struct{}),
		epochs:      map[string]uint64{},
		tasks:       map[api.TaskID]*task{},
	}
	l.leaseTimer = time.AfterFunc(time.Hour, l.checkLease)
	return l, nil
}

// token is the monotonic clock in milliseconds, from 1.
func (l *life) token() int64 { return 1 + time.Since(l.origin).Milliseconds() }

func (l *life) isDead() bool {
	select {
	case <-l.dead:
		return true
	default:
		return false
	}
}

// kill ends the incarnation as the death of its process would: nothing is journaled.
func (l *life) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDead() {
		return
	}
	close(l.dead)
	l.leaseTimer.Stop()
	for _, t := range l.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
	}
}

// notify wakes the syncs that wait. It must be called with mu held.
func (l *life) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// record journals an event with the present use; mu must be held.
func (l *life) record(e Event, id api.TaskID) error {
	e.Worker, e.Incarnation = l.cfg.Worker, l.incarnation
	e.Caller, e.Key, e.Attempt = id.Caller, id.Key, id.Attempt
	e.InUse, e.Running = l.inUse, l.running
	err := l.journal.write(e)
	if err != nil {
		l.cfg.Log.Error("journal", zap.Error(err))
	}
	return err
}

func (l *life) boot() error {
	return l.record(Event{Kind: EventBoot, Capacity: &l.cfg.Capacity, Slots: l.cfg.Slots, Connections: l.cfg.Connections}, api.TaskID{})
}

// beat journals that the process lives while tasks run, until the incarnation ends.
func (l *life) beat() {
	const interval = 100 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-l.dead:
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		if l.running > 0 && !l.isDead() {
			l.record(Event{Kind: EventAlive}, api.TaskID{})
		}
		l.forget(time.Now())
		l.mu.Unlock()
	}
}

// forget removes what need not be remembered any more; mu must be held.
func (l *life) forget(now time.Time) {
	const interval = 10 * time.Second
	if now.Sub(l.forgotten) < interval {
		return
	}
	l.forgotten = now
	for id, t := range l.tasks {
		if t.state != taskRunning && !t.reported && now.Sub(t.closedAt) > rememberFor {
			delete(l.tasks, id)
		}
	}
}
