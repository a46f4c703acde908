package api

// Route maps a kind of request to the pool that runs it.
type Route struct {
	Name string `json:"name" yaml:"name" cbor:"1,keyasint"`
	Pool string `json:"pool" yaml:"pool" cbor:"2,keyasint"`
	// Aliases are alternative names for the route, such as common misspellings.
	Aliases  []string `json:"aliases,omitempty" yaml:"aliases,omitempty" cbor:"3,keyasint,omitempty"`
	Workload Workload `json:"workload,omitempty" yaml:"workload,omitempty" cbor:"4,keyasint,omitempty"`
	// Class is the most urgent class that requests of the route may use; empty allows all.
	Class Class `json:"class,omitempty" yaml:"class,omitempty" cbor:"5,keyasint,omitempty"`
}

// Pool is a set of workers: all workers that announce its name.
type Pool struct {
	Name string `json:"name" yaml:"name" cbor:"1,keyasint"`
	// Home is the partition that owns the workers and requests of the pool. It never
	// changes.
	Home string `json:"home" yaml:"home" cbor:"2,keyasint"`
	// Shares are the fair-share weights of teams. A team that is not listed has weight 1.
	Shares map[string]int64 `json:"shares,omitempty" yaml:"shares,omitempty" cbor:"3,keyasint,omitempty"`
	// Quotas limit the resources that a team may hold at any time. A team that is not
	// listed has no limit.
	Quotas map[string]Resources `json:"quotas,omitempty" yaml:"quotas,omitempty" cbor:"4,keyasint,omitempty"`
}

// Tables is the complete configuration: the route table and the pool table. Routes refer
// to pools by name.
type Tables struct {
	Version uint64  `json:"version" yaml:"version,omitempty" cbor:"1,keyasint"`
	Routes  []Route `json:"routes" yaml:"routes" cbor:"2,keyasint"`
	Pools   []Pool  `json:"pools" yaml:"pools" cbor:"3,keyasint"`
}

// ApplyRequest replaces the tables if the version in force is still BaseVersion.
type ApplyRequest struct {
	// ChangeID identifies the change. A resend with the same id gets the first response.
	ChangeID    string `json:"change_id" cbor:"1,keyasint"`
	BaseVersion uint64 `json:"base_version" cbor:"2,keyasint"`
	Operator    string `json:"operator,omitempty" cbor:"3,keyasint,omitempty"`
	Tables      Tables `json:"tables" cbor:"4,keyasint"`
}

// ApplyResponse answers an ApplyRequest.
type ApplyResponse struct {
	Accepted bool `json:"accepted" cbor:"1,keyasint"`
	// Version is the version in force after the request: the new version if the change was
	// accepted, otherwise the unchanged one.
	Version  uint64    `json:"version" cbor:"2,keyasint"`
	Reason   string    `json:"reason,omitempty" cbor:"3,keyasint,omitempty"`
	Problems []Problem `json:"problems,omitempty" cbor:"4,keyasint,omitempty"`
}

// Severity is the severity of a problem.
type Severity string

// The severities. A change with an error is refused; a change with warnings is not.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Problem is a mistake in the configuration, or a mismatch between the configuration and what
// workers announce or callers request. An operator or caller should fix it.
type Problem struct {
	// Kind is a stable identifier such as "route_without_pool".
	Kind     string   `json:"kind" cbor:"1,keyasint"`
	Severity Severity `json:"severity" cbor:"2,keyasint"`
	// Subject is the wrong name as it was written.
	Subject string `json:"subject" cbor:"3,keyasint"`
	Message string `json:"message" cbor:"4,keyasint"`
	// Nearest is the valid name that is most similar to Subject.
	Nearest string `json:"nearest,omitempty" cbor:"5,keyasint,omitempty"`
	// Remedy says what the operator or caller should do.
	Remedy string `json:"remedy,omitempty" cbor:"6,keyasint,omitempty"`
	// FirstSeenUnixMillis is wall-clock time in milliseconds since the Unix epoch.
	FirstSeenUnixMillis int64 `json:"first_seen_unix_ms,omitempty" cbor:"7,keyasint,omitempty"`
	// Count is how often the problem was seen.
	Count   int64    `json:"count,omitempty" cbor:"8,keyasint,omitempty"`
	Callers []string `json:"callers,omitempty" cbor:"9,keyasint,omitempty"`
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

// VMStatus is the status of one VM in the response of GET /v1/status.
type VMStatus struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Role is the role of the VM in the control group: "leader", "voter", "follower",
	// "recovering", "forgot" or "storage-failed"; "joining" if it has no role yet; or
	// "unreachable".
	Role          string `json:"role"`
	TablesVersion uint64 `json:"tables_version"`
	// ConfigAgeMillis is the time since the tables were last confirmed as current.
	ConfigAgeMillis int64 `json:"config_age_ms"`
	// MayServe reports whether the VM may accept new work: it is not draining, and its tables
	// were confirmed recently.
	MayServe  bool `json:"may_serve"`
	Reachable bool `json:"reachable"`
}

// PartitionStatus is the status of one partition in the response of GET /v1/status.
type PartitionStatus struct {
	Partition string `json:"partition"`
	Leader    string `json:"leader"`
	Epoch     uint64 `json:"epoch"`
	// Replicas are the VMs that vote in the partition's group. A VM that lost its disk is listed
	// again once its replacement votes.
	Replicas []string `json:"replicas"`
	Workers  int      `json:"workers"`
	Queued   int      `json:"queued"`
	Running  int      `json:"running"`
}

// StatusResponse is the response body of GET /v1/status.
type StatusResponse struct {
	VMs        []VMStatus        `json:"vms"`
	Partitions []PartitionStatus `json:"partitions"`
}

// WorkerStatus is the status of one worker as known to its owner.
type WorkerStatus struct {
	Worker        string    `json:"worker"`
	Pool          string    `json:"pool"`
	Rack          string    `json:"rack"`
	FailureDomain string    `json:"failure_domain"`
	Region        string    `json:"region"`
	State         string    `json:"state"` // "ready", "leaving", "lost" or "unsynced"
	Capacity      Resources `json:"capacity"`
	Reserved      Resources `json:"reserved"`
	Running       int       `json:"running"`
	Slots         int       `json:"slots"`
}

// WaitingRequests counts accepted requests without an attempt. VMs exchange it to check tables.
type WaitingRequests struct {
	Kind  string // as the callers sent it; empty if the records do not have it
	Route string // name of their route when they were accepted
	Pool  string // in whose queue they are
	Count int
}

// Explanation is the response body of GET /v1/explain. It says why a request has not
// started.
type Explanation struct {
	Caller   string `json:"caller"`
	Key      string `json:"key"`
	State    State  `json:"state"`
	Position int    `json:"position,omitempty"`  // in order of arrival within its team and class, from 1
	WaitsFor string `json:"waits_for,omitempty"` // what must change for the request to start
	// RuledOut counts the workers by the limit that excludes them.
	RuledOut map[string]int `json:"ruled_out,omitempty"`
}
