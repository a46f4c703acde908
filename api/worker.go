package api

// Announcement is the body of POST /v1/workers/announce. A backend server sends it
// to any entry VM every second until an owner has synced with it within the last
// second, and once more when it starts to leave.
type Announcement struct {
	Worker string `json:"worker"`
	// Incarnation is new at each start of the worker process. A new incarnation
	// means that the former process and all its tasks are dead.
	Incarnation   string    `json:"incarnation"`
	URL           string    `json:"url"`
	Pool          string    `json:"pool"`
	Rack          string    `json:"rack"`
	FailureDomain string    `json:"failure_domain"`
	Region        string    `json:"region"`
	Capacity      Resources `json:"capacity"`
	Slots         int       `json:"slots"`
	Connections   int       `json:"connections"`
	Leaving       bool      `json:"leaving,omitempty"`
}

// TaskID identifies one task of one attempt to run one request.
type TaskID struct {
	RequestKey
	Attempt int `json:"attempt" cbor:"3,keyasint"`
	// Index counts the tasks of a gang from 0. It is 0 for a request with one task.
	Index int `json:"index,omitempty" cbor:"4,keyasint,omitempty"`
}

// SyncRequest is the body of POST /v1/sync on a worker. It grants the task lease
// and acknowledges ends.
type SyncRequest struct {
	Partition string `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	// EchoToken is the newest token the owner has received from this incarnation,
	// in milliseconds of the worker's monotonic clock; 0 before the first. The task
	// lease of the worker ends at EchoToken + LeaseMillis.
	EchoToken       int64    `json:"echo_token"`
	EchoIncarnation string   `json:"echo_incarnation"`
	LeaseMillis     int64    `json:"lease_ms"`
	Acknowledged    []TaskID `json:"acknowledged,omitempty"`
	// WaitMillis is how long the worker may hold the call when it has no news.
	WaitMillis int64 `json:"wait_ms"`
}

// SyncResponse answers a SyncRequest.
type SyncResponse struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
	// Token is the worker's monotonic clock in milliseconds when it built this
	// response; it is at least 1.
	Token int64 `json:"token"`
	// StaleEpoch is the higher epoch the worker has seen, when it refuses the sync;
	// 0 otherwise.
	StaleEpoch uint64      `json:"stale_epoch,omitempty"`
	Leaving    bool        `json:"leaving,omitempty"`
	Running    []TaskID    `json:"running,omitempty"`
	Ended      []TaskEnd   `json:"ended,omitempty"`
	Usage      []TaskUsage `json:"usage,omitempty"`
	Capacity   *Resources  `json:"capacity,omitempty"`
}

// EndKind says how a task ended on its worker.
type EndKind string

// The ways a task ends.
const (
	EndDone    EndKind = "done"    // ran to its end; Answer is whole
	EndFailed  EndKind = "failed"  // ran and reported an error
	EndStopped EndKind = "stopped" // started, then stopped by lease end, stop or restart; may have had effects
	EndRefused EndKind = "refused" // never started and never will be
)

// TaskEnd reports the end of a task. The worker repeats it until acknowledged.
type TaskEnd struct {
	Task   TaskID  `json:"task"`
	Kind   EndKind `json:"kind"`
	Reason string  `json:"reason,omitempty"`
	Answer []byte  `json:"answer,omitempty"`
	// AnswerLength is the length of Answer in bytes and AnswerDigest its SHA-256 in
	// hexadecimal, so that a truncated answer is detected.
	AnswerLength int    `json:"answer_length"`
	AnswerDigest string `json:"answer_digest"`
	RunMillis    int64  `json:"run_ms"`
}

// TaskUse is a measured use of a running task, reported with a delay.
type TaskUsage struct {
	Task TaskID    `json:"task"`
	Used Resources `json:"used"`
}

// Dispatch is the body of POST /v1/tasks on a worker. The worker refuses it when the
// epoch is below the highest it has seen, when its own clock has passed
// Token + LeaseMillis, when the incarnation is not its own, or when the task was
// revoked. A second copy of a task it knows answers with that task's state.
type DispatchRequest struct {
	Task        TaskID    `json:"task"`
	Partition   string    `json:"partition"`
	Epoch       uint64    `json:"epoch"`
	Token       int64     `json:"token"`
	Incarnation string    `json:"incarnation"`
	LeaseMillis int64     `json:"lease_ms"`
	Kind        string    `json:"kind"`
	Resources   Resources `json:"resources"`
	Body        []byte    `json:"body,omitempty"`
}

// DispatchResponse answers a Dispatch, a Revoke or a Stop.
type DispatchResponse struct {
	// State is "started" (also when already running or ended), "refused" (never
	// started and never will be), or "unknown_task".
	State       string `json:"state"`
	Reason      string `json:"reason,omitempty"`
	Incarnation string `json:"incarnation"`
	Token       int64  `json:"token"`
	StaleEpoch  uint64 `json:"stale_epoch,omitempty"`
}

// The values of DispatchResponse.State.
const (
	DispatchStarted = "started"
	DispatchRefused = "refused"
)

// TaskCommand is the body of POST /v1/revoke and POST /v1/stop on a worker. A revoke
// makes the worker refuse the task for good if it has not started; it answers
// "refused" then and "started" otherwise. A stop ends a running task.
type TaskCommand struct {
	Task  TaskID `json:"task"`
	Epoch uint64 `json:"epoch"`
}
