package api

// SLOReport is the response body of GET /v1/slo. It merges the samples of all VMs that
// answered.
type SLOReport struct {
	// UnixMillis is the wall-clock time of the report in milliseconds since the Unix epoch.
	UnixMillis int64 `json:"unix_ms"`
	// VMs are the VMs that answered. Missing are the VMs that did not answer; their samples
	// are not in the report.
	VMs        []string       `json:"vms"`
	Missing    []string       `json:"missing,omitempty"`
	Objectives []SLOObjective `json:"objectives"`
}

// SLOObjective is one objective with its budget, burn rates and alerts.
type SLOObjective struct {
	// Objective is the text of the objective in the settings, such as
	// "wait:drafting:urgent:2.2s:99.9".
	Objective string `json:"objective"`
	Indicator string `json:"indicator"`
	// TargetPercent is the target percentage of good samples.
	TargetPercent float64 `json:"target_percent"`
	// Good and Bad count the samples of the last 30 days.
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
	// BudgetLeft is the unused fraction of the error budget of 30 days. 1 means that none
	// of the budget is used; a negative value means that it is overspent.
	BudgetLeft float64       `json:"budget_left"`
	BurnRates  []SLOBurnRate `json:"burn"`
	Alerts     []SLOAlert    `json:"alerts,omitempty"`
	// Distribution is nil for objectives whose samples have no value.
	Distribution *SLODistribution `json:"waits,omitempty"`
	// Recent covers the last 6 h in steps of 5 min, and Long the last 30 days in steps of
	// 6 h. The oldest step comes first.
	Recent []SLOPoint `json:"recent"`
	Long   []SLOPoint `json:"long"`
}

// SLOBurnRate is the burn rate over a window that ends at the time of the report. At rate
// 1 the budget of 30 days lasts exactly 30 days.
type SLOBurnRate struct {
	Window string  `json:"window"`
	Rate   float64 `json:"rate"`
	Good   uint64  `json:"good"`
	Bad    uint64  `json:"bad"`
}

// SLOAlert reports that the burn rates of both windows of a pair exceed a threshold.
type SLOAlert struct {
	Pair      string  `json:"pair"`
	Threshold float64 `json:"threshold"`
	Message   string  `json:"message"`
}

// SLODistribution is the distribution of the sample values of 30 days, in milliseconds.
type SLODistribution struct {
	P50     int64       `json:"p50_ms"`
	P99     int64       `json:"p99_ms"`
	P999    int64       `json:"p999_ms"`
	Max     int64       `json:"max_ms"`
	Buckets []SLOBucket `json:"bars"`
}

// SLOBucket counts the values above the upper bound of the previous bucket, up to and
// including UpperBoundMillis.
type SLOBucket struct {
	UpperBoundMillis int64 `json:"up_to_ms"`
	Count            int64 `json:"count"`
}

// SLOPoint is the burn rate of one step of a history. UnixMillis is the start of the step
// in milliseconds since the Unix epoch.
type SLOPoint struct {
	UnixMillis int64   `json:"unix_ms"`
	Rate       float64 `json:"rate"`
	Samples    uint64  `json:"samples"`
}
