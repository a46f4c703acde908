package standin

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/pkg/errors"
)

// EventKind is what a journal line records.
type EventKind string

// The kinds of event.
const (
	EventBoot      EventKind = "boot"   // a new incarnation; the tasks of the former have ended
	EventStart     EventKind = "start"  // a task starts
	EventEnd       EventKind = "end"    // a task ran to its end, done or failed
	EventStop      EventKind = "stop"   // a task was stopped
	EventRefuse    EventKind = "refuse" // an attempt was refused or revoked for good
	EventAck       EventKind = "ack"    // the owner has acknowledged an end
	EventHeartbeat EventKind = "alive"  // written every 100 ms while tasks run
	// EventConnections records more open connections than declared.
	EventConnections EventKind = "connections"
)

// Event is one line of a journal.
type Event struct {
	// UnixNanos is wall-clock time in nanoseconds.
	UnixNanos   int64     `json:"t"`
	Worker      string    `json:"worker"`
	Incarnation string    `json:"incarnation"`
	Kind        EventKind `json:"event"`
	Caller      string    `json:"caller,omitempty"`
	Key         string    `json:"key,omitempty"`
	Attempt     int       `json:"attempt,omitempty"`
	Index       int       `json:"index,omitempty"` // of a gang's task
	Epoch       uint64    `json:"epoch,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	// LeaseEndNanos is when the lease ended, on a stop for that reason. A paused
	// process notices it later; it lets no task end as done after that time.
	LeaseEndNanos int64 `json:"lease_end,omitempty"`
	// InUse and Running are the resources and the number of tasks after the event.
	InUse   api.Resources `json:"in_use"`
	Running int           `json:"running"`
	// Capacity, Slots and Connections are declared at boot.
	Capacity    *api.Resources `json:"capacity,omitempty"`
	Slots       int            `json:"slots,omitempty"`
	Connections int            `json:"connections,omitempty"`
}

// Task returns the task that the event is about.
func (e Event) Task() api.TaskID {
	return api.TaskID{RequestKey: api.RequestKey{Caller: e.Caller, Key: e.Key}, Attempt: e.Attempt, Index: e.Index}
}

func (e Event) time() time.Time { return time.Unix(0, e.UnixNanos) }

// journal appends events to a file. It survives the process, but not the machine,
// since it is not synced.
type journal struct {
	mu sync.Mutex // guards f and the order of lines
	f  *os.File
}

func openJournal(path string) (*journal, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open journal")
	}
	return &journal{f: f}, cutTornLine(f)
}

// cutTornLine removes a last line that a killed process left incomplete.
func cutTornLine(f *os.File) error {
	data, err := os.ReadFile(f.Name())
	if err != nil {
		return errors.Wrap(err, "read journal")
	}
	return errors.Wrap(f.Truncate(int64(wholeLines(data))), "cut journal")
}

// write sets the time and appends the event with one system call.
func (j *journal) write(e Event) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.UnixNanos = time.Now().UnixNano()
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	_, err = j.f.Write(append(line, '\n'))
	return errors.Wrap(err, "write journal")
}

func (j *journal) close() error { return j.f.Close() }
