package api

// SLOReport is the body of GET /v1/slo: the samples of all VMs that answered, merged.
type SLOReport struct {
	// UnixMillis is the wall-clock time of the report in milliseconds.
	UnixMillis int64 `json:"unix_ms"`
	// VMs answered; Missing did not, so their samples are not in the report.
	VMs        []string       `json:"vms"`
	Missing    []string       `json:"missing,omitempty"`
	Objectives []SLOObjective `json:"objectives"`
}

// SLOObjective is one objective with its budget, burn rates and alerts.
type SLOObjective struct {
	// Objective is its text in the settings, such as "wait:drafting:urgent:2.2s:99.9".
	Objective string `json:"objective"`
	Indicator string `json:"indicator"`
	// TargetPercent is the wanted share of good samples.
	TargetPercent float64 `json:"target_percent"`
	// Good and Bad count the samples of the last 30 days.
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
	// BudgetLeft is the unused share of the error budget of 30 days; 1 means unused and
	// a negative value means overspent.
	BudgetLeft float64       `json:"budget_left"`
	BurnRates  []SLOBurnRate `json:"burn"`
	Alerts     []SLOAlert    `json:"alerts,omitempty"`
	// Waits is absent for objectives whose samples have no value.
	Distribution *SLODistribution `json:"waits,omitempty"`
	// Recent covers 6 h in steps of 5 min, Long 30 days in steps of 6 h, oldest first.
	Recent []SLOPoint `json:"recent"`
	Long   []SLOPoint `json:"long"`
}

// SLOBurn is the burn rate over the window that ends at the time of the report. At rate 1
// the budget of 30 days lasts exactly 30 days.
type SLOBurnRate struct {
	Window string  `json:"window"`
	Rate   float64 `json:"rate"`
	Good   uint64  `json:"good"`
	Bad    uint64  `json:"bad"`
}

// SLOAlert says that both windows of a pair exceed a burn rate.
type SLOAlert struct {
	Pair      string  `json:"pair"`
	Threshold float64 `json:"threshold"`
	Message   string  `json:"message"`
}

// SLOWaits is the distribution of the values of 30 days, in milliseconds.
type SLODistribution struct {
	P50     int64       `json:"p50_ms"`
	P99     int64       `json:"p99_ms"`
	P999    int64       `json:"p999_ms"`
	Max     int64       `json:"max_ms"`
	Buckets []SLOBucket `json:"bars"`
}

// SLOBar counts the values above the previous bar's bound and up to UpToMillis.
type SLOBucket struct {
	UpperBoundMillis int64 `json:"up_to_ms"`
	Count            int64 `json:"count"`
}

// SLOPoint is one step of a history; UnixMillis is its start.
type SLOPoint struct {
	UnixMillis int64   `json:"unix_ms"`
	Rate       float64 `json:"rate"`
	Samples    uint64  `json:"samples"`
}
