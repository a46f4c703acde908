package api

// Route says where a kind of request goes.
type Route struct {
	Name string `json:"name" yaml:"name" cbor:"1,keyasint"`
	Pool string `json:"pool" yaml:"pool" cbor:"2,keyasint"`
	// Aliases are accepted misspellings of Name.
	Aliases  []string `json:"aliases,omitempty" yaml:"aliases,omitempty" cbor:"3,keyasint,omitempty"`
	Workload Workload `json:"workload,omitempty" yaml:"workload,omitempty" cbor:"4,keyasint,omitempty"`
	// Class is the highest class that the route's requests may use; empty allows all.
	Class Class `json:"class,omitempty" yaml:"class,omitempty" cbor:"5,keyasint,omitempty"`
}

// Pool says which workers may serve: those that announce its name.
type Pool struct {
	Name string `json:"name" yaml:"name" cbor:"1,keyasint"`
	// Home is the partition that owns the pool's workers and requests. It never changes.
	Home string `json:"home" yaml:"home" cbor:"2,keyasint"`
	// Shares are weights of teams; a team that is not listed has weight 1.
	Shares map[string]int64 `json:"shares,omitempty" yaml:"shares,omitempty" cbor:"3,keyasint,omitempty"`
	// Quotas bound what a team may hold at once; absent means no bound.
	Quotas map[string]Resources `json:"quotas,omitempty" yaml:"quotas,omitempty" cbor:"4,keyasint,omitempty"`
}

// Tables is the whole configuration: the two tables, joined by pool name.
type Tables struct {
	Version uint64  `json:"version" yaml:"version,omitempty" cbor:"1,keyasint"`
	Routes  []Route `json:"routes" yaml:"routes" cbor:"2,keyasint"`
	Pools   []Pool  `json:"pools" yaml:"pools" cbor:"3,keyasint"`
}

// ApplyRequest replaces the tables if the version in force is still BaseVersion.
type ApplyRequest struct {
	// ChangeID identifies the change; a resend with the same id gets the first answer.
	ChangeID    string `json:"change_id" cbor:"1,keyasint"`
	BaseVersion uint64 `json:"base_version" cbor:"2,keyasint"`
	Operator    string `json:"operator,omitempty" cbor:"3,keyasint,omitempty"`
	Tables      Tables `json:"tables" cbor:"4,keyasint"`
}

// ApplyResponse answers an ApplyRequest.
type ApplyResponse struct {
	Accepted bool `json:"accepted" cbor:"1,keyasint"`
	// Version is the version now in force: the new one if accepted, otherwise the one
	// that stands.
	Version  uint64    `json:"version" cbor:"2,keyasint"`
	Reason   string    `json:"reason,omitempty" cbor:"3,keyasint,omitempty"`
	Problems []Problem `json:"problems,omitempty" cbor:"4,keyasint,omitempty"`
}

// Severity of a problem.
type Severity string

// The severities: an error refuses a change, a warning does not.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Problem is a mismatch that an operator should mend.
type Problem struct {
	// Kind is a stable identifier such as "route_without_pool".
	Kind     string   `json:"kind" cbor:"1,keyasint"`
	Severity Severity `json:"severity" cbor:"2,keyasint"`
	// Subject is the name as it is written where it is wrong.
	Subject string `json:"subject" cbor:"3,keyasint"`
	Message string `json:"message" cbor:"4,keyasint"`
	Nearest string `json:"nearest,omitempty" cbor:"5,keyasint,omitempty"`
	Remedy  string `json:"remedy,omitempty" cbor:"6,keyasint,omitempty"`
	// FirstSeenUnixMillis is wall-clock time in milliseconds.
	FirstSeenUnixMillis int64    `json:"first_seen_unix_ms,omitempty" cbor:"7,keyasint,omitempty"`
	Count               int64    `json:"count,omitempty" cbor:"8,keyasint,omitempty"`
	Callers             []string `json:"callers,omitempty" cbor:"9,keyasint,omitempty"`
}

// HistoryEntry is one accepted change of the tables.
type HistoryEntry struct {
	Version       uint64 `json:"version" cbor:"1,keyasint"`
	ChangeID      string `json:"change_id" cbor:"2,keyasint"`
	Operator      string `json:"operator,omitempty" cbor:"3,keyasint,omitempty"`
	UnixMillis    int64  `json:"unix_ms" cbor:"4,keyasint"`
	RoutesChanged int    `json:"routes_changed" cbor:"5,keyasint"`
	PoolsChanged  int    `json:"pools_changed" cbor:"6,keyasint"`
}

// VMStatus is one VM as seen in GET /v1/status.
type VMStatus struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Role is "leader", "voter", "follower", "recovering" or "forgot" in the control group.
	Role            string `json:"role"`
	TablesVersion   uint64 `json:"tables_version"`
	ConfigAgeMillis int64  `json:"config_age_ms"`
	MayServe        bool   `json:"may_serve"`
	Reachable       bool   `json:"reachable"`
}

// PartitionStatus is one partition as seen in GET /v1/status.
type PartitionStatus struct {
	Partition string   `json:"partition"`
	Leader    string   `json:"leader"`
	Epoch     uint64   `json:"epoch"`
	Replicas  []string `json:"replicas"`
	Workers   int      `json:"workers"`
	Queued    int      `json:"queued"`
	Running   int      `json:"running"`
}

// StatusResponse is the body of GET /v1/status.
type StatusResponse struct {
	VMs        []VMStatus        `json:"vms"`
	Partitions []PartitionStatus `json:"partitions"`
}

// WorkerStatus is one worker as its owner sees it.
type WorkerStatus struct {
	Worker        string    `json:"worker"`
	Pool          string    `json:"pool"`
	Rack          string    `json:"rack"`
	FailureDomain string    `json:"failure_domain"`
	Region        string    `json:"region"`
	State         string    `json:"state"` // "ready", "leaving", "lost", "probation", "unsynced"
	Capacity      Resources `json:"capacity"`
	Reserved      Resources `json:"reserved"`
	Running       int       `json:"running"`
	Slots         int       `json:"slots"`
}

// Explanation answers GET /v1/explain: why a request has not started.
type Explanation struct {
	Caller   string `json:"caller"`
	Key      string `json:"key"`
	State    State  `json:"state"`
	Position int    `json:"position,omitempty"`
	WaitsFor string `json:"waits_for,omitempty"`
	// RuledOut counts workers by the limit that ruled them out.
	RuledOut map[string]int `json:"ruled_out,omitempty"`
}
