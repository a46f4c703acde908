package api

// Announcement is the body of POST /v1/workers/announce. A backend server sends it to
// any entry VM every second unless an owner has synced with it within the last second,
// and once more when it starts to leave.
type Announcement struct {
	Worker string `json:"worker"`
	// Incarnation identifies one run of the worker process. A new incarnation means that
	// the previous process and all its tasks have ended.
	Incarnation   string    `json:"incarnation"`
	URL           string    `json:"url"` // base URL of the worker's HTTP server
	Pool          string    `json:"pool"`
	Rack          string    `json:"rack"`
	FailureDomain string    `json:"failure_domain"`
	Region        string    `json:"region"`
	Capacity      Resources `json:"capacity"`
	Slots         int       `json:"slots"`       // maximum number of concurrent tasks
	Connections   int       `json:"connections"` // maximum number of concurrent connections
	Leaving       bool      `json:"leaving,omitempty"`
}

// TaskID identifies one task of one attempt to run one request.
type TaskID struct {
	RequestKey
	Attempt int `json:"attempt" cbor:"3,keyasint"`
	// Index counts the tasks of a gang from 0. It is 0 for a request with one task.
	Index int `json:"index,omitempty" cbor:"4,keyasint,omitempty"`
}

// SyncRequest is the body of POST /v1/sync on a worker. It grants the task lease and
// acknowledges the reported task ends.
type SyncRequest struct {
	// Partition is the owner that syncs, and Epoch its current epoch. The worker refuses an
	// epoch below the highest that it has seen from the partition.
	Partition string `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	// EchoToken is the newest token that the owner has received from the incarnation
	// EchoIncarnation, in milliseconds of the worker's monotonic clock; 0 before the first.
	// The task lease of the worker ends at EchoToken + LeaseMillis.
	EchoToken       int64  `json:"echo_token"`
	EchoIncarnation string `json:"echo_incarnation"`
	LeaseMillis     int64  `json:"lease_ms"`
	// Acknowledged lists the tasks of which the owner has recorded the reported end.
	Acknowledged []TaskID `json:"acknowledged,omitempty"`
	// WaitMillis is how long the worker may wait for something to report before it answers.
	WaitMillis int64 `json:"wait_ms"`
}

// SyncResponse answers a SyncRequest.
type SyncResponse struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
	// Token is the reading of the worker's monotonic clock, in milliseconds, when it built
	// this response; it is at least 1.
	Token int64 `json:"token"`
	// StaleEpoch is the higher epoch that the worker has seen if it refuses the sync for
	// that reason; otherwise 0.
	StaleEpoch uint64      `json:"stale_epoch,omitempty"`
	Leaving    bool        `json:"leaving,omitempty"`
	Running    []TaskID    `json:"running,omitempty"`
	Ended      []TaskEnd   `json:"ended,omitempty"`
	Usage      []TaskUsage `json:"usage,omitempty"`
	// Capacity, if it is not nil, replaces the capacity that the worker announced.
	Capacity *Resources `json:"capacity,omitempty"`
}

// EndKind is how a task ended on its worker.
type EndKind string

// The ways in which a task can end.
const (
	EndDone    EndKind = "done"    // completed; Answer is complete
	EndFailed  EndKind = "failed"  // ran and reported an error
	EndStopped EndKind = "stopped" // started, then stopped by the end of its lease, a stop command or a restart; may have had effects
	EndRefused EndKind = "refused" // never started and never will
)

// TaskEnd reports the end of a task. The worker repeats the report until the owner
// acknowledges it.
type TaskEnd struct {
	Task   TaskID  `json:"task"`
	Kind   EndKind `json:"kind"`
	Reason string  `json:"reason,omitempty"`
	Answer []byte  `json:"answer,omitempty"`
	// AnswerLength is the length of Answer in bytes, and AnswerDigest its SHA-256 digest in
	// hexadecimal. They reveal a truncated answer.
	AnswerLength int    `json:"answer_length"`
	AnswerDigest string `json:"answer_digest"`
	RunMillis    int64  `json:"run_ms"` // time from the start of the task to its end
}

// TaskUsage is the measured resource usage of a running task. It is reported with a delay.
type TaskUsage struct {
	Task TaskID    `json:"task"`
	Used Resources `json:"used"`
}

// DispatchRequest is the body of POST /v1/tasks on a worker. The worker refuses it if the
// epoch is below the highest it has seen, if its own clock has passed
// Token + LeaseMillis, if the incarnation is not its own, or if the task was revoked. It
// answers a second copy of a task that it knows with the state of that task.
type DispatchRequest struct {
	Task        TaskID    `json:"task"`
	Partition   string    `json:"partition"`
	Epoch       uint64    `json:"epoch"`
	Token       int64     `json:"token"` // newest token received from Incarnation
	Incarnation string    `json:"incarnation"`
	LeaseMillis int64     `json:"lease_ms"`
	Kind        string    `json:"kind"`
	Resources   Resources `json:"resources"`
	Body        []byte    `json:"body,omitempty"`
}

// DispatchResponse answers a DispatchRequest or a TaskCommand.
type DispatchResponse struct {
	// State is "started" (also if the task is already running or has ended), "refused"
	// (the task never started and never will), or "unknown_task".
	State       string `json:"state"`
	Reason      string `json:"reason,omitempty"`
	Incarnation string `json:"incarnation"`
	Token       int64  `json:"token"`
	StaleEpoch  uint64 `json:"stale_epoch,omitempty"`
}

// Values of DispatchResponse.State.
const (
	DispatchStarted = "started"
	DispatchRefused = "refused"
)

// TaskCommand is the body of POST /v1/revoke and POST /v1/stop on a worker. If the task
// has not started, a revoke makes the worker refuse it permanently and answer "refused";
// otherwise the worker answers "started". A stop ends a running task. A worker that was
// restarted since the dispatch and has no journal answers "unknown_task" to both.
type TaskCommand struct {
	Task TaskID `json:"task"`
	// Partition and Epoch are as in SyncRequest. An owner of an earlier version omits
	// Partition; its epoch is then that of the partition that owns the worker.
	Partition string `json:"partition,omitempty"`
	Epoch     uint64 `json:"epoch"`
	// Incarnation is the one to which the task was dispatched. An owner of an earlier version
	// omits it; the command is then for any incarnation.
	Incarnation string `json:"incarnation,omitempty"`
}
