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

// taskRetention is how long a refused attempt, or one whose end was acknowledged, is
// kept. A dispatch expires long before that.
const taskRetention = 10 * time.Minute

// errEnded means that the incarnation has ended. Its calls get no response.
var errEnded = errors.New("standin: incarnation has ended")

// incarnation is one run of a worker between restarts. It holds all state that a restart
// without journal replay loses.
type incarnation struct {
	cfg         Config
	faults      *faultSwitch
	journal     *journal
	id          string
	clockOrigin time.Time // time at which the token clock started
	ended       chan struct{}

	mu      sync.Mutex    // guards the fields below
	changed chan struct{} // closed and replaced on each change that syncs wait for
	// hasReplayed is true if the journal was replayed at the start. If so, an attempt that
	// is not in tasks was not started by an earlier incarnation either.
	hasReplayed bool
	owner       string            // partition that owns the worker; empty before the first sync or dispatch
	epochs      map[string]uint64 // highest epoch seen, by partition
	leaseEnd    int64             // token at which the lease ends and the tasks are stopped
	leaseTimer  *time.Timer
	leaving     bool
	// leavingSentToken is the token of the latest response with the leaving flag.
	leavingSentToken int64
	lastSyncToken    int64 // token of the latest accepted sync; 0 before the first
	tasks            map[api.TaskID]*task
	inUse            api.Resources
	running          int
	lastEvictedAt    time.Time // time of the latest eviction of old tasks
}

// task is a task attempt that the worker knows.
type task struct {
	dispatch api.DispatchRequest
	program  program
	state    taskState
	started  time.Time
	timer    *time.Timer
	end      api.TaskEnd
	// awaitsAck is true while each sync response must contain the end. sentToken is the
	// token of the latest response that contained it, or 0.
	awaitsAck bool
	sentToken int64
	endedAt   time.Time
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
		return nil, errors.Wrap(err, "generate incarnation id")
	}
	inc := &incarnation{
		cfg:         cfg,
		faults:      faults,
		journal:     j,
		id:          hex.EncodeToString(b),
		clockOrigin: time.Now(),
		ended:       make(chan struct{}),
		changed:     make(chan struct{}),
		epochs:      map[string]uint64{},
		tasks:       map[api.TaskID]*task{},
	}
	inc.leaseTimer = time.AfterFunc(time.Hour, inc.checkLease)
	return inc, nil
}

// token returns the monotonic time since the start of the incarnation in milliseconds,
// starting at 1.
func (inc *incarnation) token() int64 { return 1 + time.Since(inc.clockOrigin).Milliseconds() }

func (inc *incarnation) hasEnded() bool {
	select {
	case <-inc.ended:
		return true
	default:
		return false
	}
}

// terminate ends the incarnation as a crash of its process would: nothing is journaled.
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

// notify wakes the syncs and waitIdle calls that wait for a change. The caller must hold mu.
func (inc *incarnation) notify() {
	close(inc.changed)
	inc.changed = make(chan struct{})
}

// record journals an event with the resources currently in use. The caller must hold mu.
func (inc *incarnation) record(e Event, id api.TaskID) error {
	e.Worker, e.Incarnation = inc.cfg.Worker, inc.id
	e.Caller, e.Key, e.Attempt, e.Index = id.Caller, id.Key, id.Attempt, id.Index
	e.InUse, e.Running = inc.inUse, inc.running
	err := inc.journal.write(e)
	if err != nil {
		inc.cfg.Log.Error("write journal event", zap.Error(err))
	}
	return err
}

// recordBoot journals the start of the incarnation with its declared limits.
func (inc *incarnation) recordBoot() error {
	return inc.record(Event{Kind: EventBoot, Capacity: &inc.cfg.Capacity, Slots: inc.cfg.Slots, Connections: inc.cfg.Connections}, api.TaskID{})
}

// writeHeartbeats journals a heartbeat every 100 ms while tasks run and evicts old tasks,
// until the incarnation ends.
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
		inc.evictTasks(time.Now())
		inc.mu.Unlock()
	}
}

// evictTasks removes attempts whose taskRetention has passed. The caller must hold mu.
func (inc *incarnation) evictTasks(now time.Time) {
	const interval = 10 * time.Second
	if now.Sub(inc.lastEvictedAt) < interval {
		return
	}
	inc.lastEvictedAt = now
	for id, t := range inc.tasks {
		if t.state != taskRunning && !t.awaitsAck && now.Sub(t.endedAt) > taskRetention {
			delete(inc.tasks, id)
		}
	}
}
