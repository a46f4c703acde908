package partition

import "time"

// Limits and intervals that are not part of Config.
const (
	// maxInFlight is the maximum number of proposed batches that have not been applied. A
	// few of them keep the log busy during a quorum round trip without reordering work.
	maxInFlight = 4
	// targetBatchBytes is the size in bytes at which a batch is closed. A command with a
	// body or an answer of up to 1 MiB may exceed it and then forms a batch of its own.
	targetBatchBytes = 512 << 10
	// maxPendingBytes is the size in bytes of the commands that wait to be proposed at which
	// new requests are refused.
	maxPendingBytes = 32 << 20
	// proposeRetryInterval is the delay before the next proposal after ProposeFailed.
	proposeRetryInterval = 50 * time.Millisecond
	// maxSyncWait is how long a worker may hold a sync call when it has nothing new to
	// report.
	maxSyncWait = 500 * time.Millisecond
	// syncRetryInterval is the delay before the next sync after a failed one.
	syncRetryInterval = 100 * time.Millisecond
	// syncTimeout is the time after which a sync counts as failed if neither its answer nor
	// its failure has reached Step. It is above the transport's deadline of 1.5 s for the call.
	syncTimeout = 3 * time.Second
	// maxAckDelay is how long the next sync waits at most for the commit of the ends that the
	// last one reported, so that it acknowledges them instead of fetching them again.
	maxAckDelay = 250 * time.Millisecond
	// unannouncedSyncInterval is the delay before the next sync with a worker whose current
	// incarnation has not been announced. The worker announces itself after 1 s without a
	// sync, and its lease of 2 s must not end in the meantime.
	unannouncedSyncInterval = 1250 * time.Millisecond
	// A worker that answers more than maxQuickResponses times in a row within
	// quickResponseTime and reports no end does not hold the calls. The owner then sends it
	// syncs only every syncRetryInterval.
	maxQuickResponses = 5
	quickResponseTime = 20 * time.Millisecond
	// commandRetryInterval is the interval at which a revoke or a stop is repeated.
	commandRetryInterval = 250 * time.Millisecond
	// maxPlacementsPerDecision is the maximum number of placements in one Step or Apply.
	maxPlacementsPerDecision = 256
	// maxCallWait is how long a call may wait for an outcome, and maxWaiters how many calls
	// may wait simultaneously.
	maxCallWait = 2 * time.Minute
	maxWaiters  = 100_000
	// minCommitWait is how long a call waits for the commit of its accept or cancel, even if
	// its own waiting time is shorter.
	minCommitWait = time.Second
	// unknownRetention is how long records in state unknown are kept. It is longer than the
	// retention of finished ones, since a worker with a journal can still resolve them.
	unknownRetention = 24 * time.Hour
	// maxExpireKeys is the maximum number of keys in one expire command.
	maxExpireKeys = 512
	// lostWorkerRetention is how long the owner keeps a lost worker.
	lostWorkerRetention = 10 * time.Minute
	// maxSuperseded is the maximum number of earlier incarnations remembered for a worker.
	maxSuperseded = 16
	// maxDurationMillis is the largest duration in milliseconds that a request may declare:
	// 366 days.
	maxDurationMillis = int64(366 * 24 * time.Hour / time.Millisecond)
	// maxResourceAmount is the largest amount of any resource that a request may declare, in
	// the unit of that resource.
	maxResourceAmount = int64(1) << 40
	// maxTasks is the maximum number of tasks of a gang. The claim of a gang is a single log
	// entry with about 60 B per task.
	maxTasks = 1024
	// maxNameBytes is the maximum length in bytes of a caller, a key and a team.
	maxNameBytes = 512
)

// withDefaults returns the configuration with zero and negative values replaced by the
// defaults.
func (c Config) withDefaults() Config {
	if c.TaskLease <= 0 {
		c.TaskLease = 2 * time.Second
	}
	if c.ClockRateBound <= 0 {
		c.ClockRateBound = 0.01
	}
	if c.OutcomeRetention <= 0 {
		c.OutcomeRetention = 10 * time.Minute
	}
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = 3
	}
	return c
}

// leaseBound returns the time after the receipt of a token by which every lease and dispatch
// based on that token has ended, on the owner's clock: L·(1+ρ), plus 1 ms.
func (c Config) leaseBound() time.Duration {
	return c.TaskLease + time.Duration(float64(c.TaskLease)*c.ClockRateBound) + time.Millisecond
}
