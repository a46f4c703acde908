package standin

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/pkg/errors"
)

// EventKind is the kind of event that a journal line records.
type EventKind string

// The kinds of event.
const (
	EventBoot      EventKind = "boot"   // a new incarnation starts; the tasks of the previous one have ended
	EventStart     EventKind = "start"  // a task starts
	EventEnd       EventKind = "end"    // a task ran to completion, done or failed
	EventStop      EventKind = "stop"   // a task was stopped
	EventRefuse    EventKind = "refuse" // an attempt was permanently refused or revoked
	EventAck       EventKind = "ack"    // the owner acknowledged an end
	EventHeartbeat EventKind = "alive"  // written every 100 ms while tasks run
	// EventConnections records that more connections are open than declared.
	EventConnections EventKind = "connections"
)

// Event is one line of a journal.
type Event struct {
	// UnixNanos is the wall-clock time of the event in nanoseconds since the Unix epoch.
	UnixNanos   int64     `json:"t"`
	Worker      string    `json:"worker"`
	Incarnation string    `json:"incarnation"`
	Kind        EventKind `json:"event"`
	Caller      string    `json:"caller,omitempty"`
	Key         string    `json:"key,omitempty"`
	Attempt     int       `json:"attempt,omitempty"`
	Index       int       `json:"index,omitempty"` // index of the task in its gang
	Epoch       uint64    `json:"epoch,omitempty"`
	Reason      string    `json:"reason,omitempty"`
	// LeaseEndNanos is the time at which the lease ended, in nanoseconds since the Unix
	// epoch, for a stop at the lease end. A paused process notices the lease end late,
	// but never reports a task as done after it.
	LeaseEndNanos int64 `json:"lease_end,omitempty"`
	// InUse and Running are the resources in use and the number of running tasks after
	// the event.
	InUse   api.Resources `json:"in_use"`
	Running int           `json:"running"`
	// Capacity, Slots and Connections are the limits declared at boot. In a connections
	// event, Connections is the number of open connections.
	Capacity    *api.Resources `json:"capacity,omitempty"`
	Slots       int            `json:"slots,omitempty"`
	Connections int            `json:"connections,omitempty"`
}

// Task returns the ID of the task attempt that the event concerns.
func (e Event) Task() api.TaskID {
	return api.TaskID{RequestKey: api.RequestKey{Caller: e.Caller, Key: e.Key}, Attempt: e.Attempt, Index: e.Index}
}

func (e Event) time() time.Time { return time.Unix(0, e.UnixNanos) }

// journal appends events to a file. The events survive a crash of the process but not
// of the machine, because the file is not synced.
type journal struct {
	mu sync.Mutex // guards f and the order of lines
	f  *os.File
}

func openJournal(path string) (*journal, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open journal")
	}
	return &journal{f: f}, truncateTornLine(f)
}

// truncateTornLine removes an incomplete last line, which a killed process can leave.
func truncateTornLine(f *os.File) error {
	data, err := os.ReadFile(f.Name())
	if err != nil {
		return errors.Wrap(err, "read journal")
	}
	return errors.Wrap(f.Truncate(int64(completeLinesLength(data))), "truncate journal")
}

// write sets the time of the event and appends it with one system call.
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
