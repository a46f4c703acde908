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

// errEnded means that the incarnation has ended; its calls get no answer.
var errEnded = errors.New("standin: incarnation has ended")

// incarnation is one incarnation of a worker: all that a restart without memory loses.
type incarnation struct {
	cfg     Config
	faults  *faultSwitch
	journal *journal
	id      string
	origin  time.Time // of the monotonic clock
	ended   chan struct{}

	mu      sync.Mutex // guards the fields below
	changed chan struct{}
	// hasReplayed is true if the journal was read at the start, so that an attempt that
	// is not known was never started by a former incarnation either.
	hasReplayed bool
	owner       string // partition of the newest accepted sync or dispatch
	epochs      map[string]uint64
	leaseEnd    int64 // token at which the tasks are stopped
	leaseTimer  *time.Timer
	leaving     bool
	// leavingSent is the token of the newest answer that said leaving.
	leavingSent int64
	syncedAt    int64 // token of the newest accepted sync, 0 before the first
	tasks       map[api.TaskID]*task
	inUse       api.Resources
	running     int
	evictedAt   time.Time // of the newest removal of old tasks
}

// task is an attempt that the worker knows.
type task struct {
	dispatch api.DispatchRequest
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

func newIncarnation(cfg Config, faults *faultSwitch, j *journal) (*incarnation, error) {
	b := make([]byte, 8)
	if _, err := rand.Read(b); err != nil {
		return nil, errors.Wrap(err, "random incarnation")
	}
	inc := &incarnation{
		cfg:     cfg,
		faults:  faults,
		journal: j,
		id:      hex.EncodeToString(b),
		origin:  time.Now(),
		ended:   make(chan struct{}),
		changed: make(chan struct{}),
		epochs:  map[string]uint64{},
		tasks:   map[api.TaskID]*task{},
	}
	inc.leaseTimer = time.AfterFunc(time.Hour, inc.checkLease)
	return inc, nil
}

// token is the monotonic clock in milliseconds, from 1.
func (inc *incarnation) token() int64 { return 1 + time.Since(inc.origin).Milliseconds() }

func (inc *incarnation) hasEnded() bool {
	select {
	case <-inc.ended:
		return true
	default:
		return false
	}
}

// terminate ends the incarnation as the death of its process would: nothing is journaled.
func (inc *incarnation) terminate() {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.hasEnded() {
		return
	}
	close(inc.ended)
	inc.leaseTimer.Stop()
	for _, t := range inc.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
	}
}

// notify wakes the syncs that wait. It must be called with mu held.
func (inc *incarnation) notify() {
	close(inc.changed)
	inc.changed = make(chan struct{})
}

// record journals an event with the present use; mu must be held.
func (inc *incarnation) record(e Event, id api.TaskID) error {
	e.Worker, e.Incarnation = inc.cfg.Worker, inc.id
	e.Caller, e.Key, e.Attempt, e.Index = id.Caller, id.Key, id.Attempt, id.Index
	e.InUse, e.Running = inc.inUse, inc.running
	err := inc.journal.write(e)
	if err != nil {
		inc.cfg.Log.Error("journal", zap.Error(err))
	}
	return err
}

func (inc *incarnation) boot() error {
	return inc.record(Event{Kind: EventBoot, Capacity: &inc.cfg.Capacity, Slots: inc.cfg.Slots, Connections: inc.cfg.Connections}, api.TaskID{})
}

// writeHeartbeats journals that the process lives while tasks run, until the incarnation ends.
func (inc *incarnation) writeHeartbeats() {
	const interval = 100 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-inc.ended:
			return
		case <-ticker.C:
		}
		inc.mu.Lock()
		if inc.running > 0 && !inc.hasEnded() {
			inc.record(Event{Kind: EventHeartbeat}, api.TaskID{})
		}
		inc.evict(time.Now())
		inc.mu.Unlock()
	}
}

// evict removes what need not be remembered any more; mu must be held.
func (inc *incarnation) evict(now time.Time) {
	const interval = 10 * time.Second
	if now.Sub(inc.evictedAt) < interval {
		return
	}
	inc.evictedAt = now
	for id, t := range inc.tasks {
		if t.state != taskRunning && !t.reported && now.Sub(t.closedAt) > rememberFor {
			delete(inc.tasks, id)
		}
	}
}
