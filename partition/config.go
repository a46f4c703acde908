package partition

import "time"

// Limits and intervals that are not part of Config.
const (
	// maxInFlight bounds the Propose actions that have not been applied yet. A few
	// keep the log busy during one quorum round trip without reordering work.
	maxInFlight = 4
	// batchTarget is the size in bytes at which a batch is closed. One command with a
	// body or answer of up to 1 MiB travels alone.
	targetBatchBytes = 512 << 10
	// maxPending is the size in bytes of commands waiting for the log at which new
	// requests are refused.
	maxPendingBytes = 32 << 20
	// proposeRetry is the pause after ProposeFailed.
	proposeRetryInterval = 50 * time.Millisecond
	// syncWait is how long a worker may hold a sync call when it has no news.
	maxSyncWait = 500 * time.Millisecond
	// syncRetry is the pause after a failed sync.
	syncRetryInterval = 100 * time.Millisecond
	// syncTimeout frees the slot of a sync whose answer never reached Step. It is
	// above the transport's deadline of 1.5 s for the call.
	syncTimeout = 3 * time.Second
	// ackHold bounds how long the next sync waits for the end records of the last
	// one, so that it carries their acknowledgements instead of fetching them again.
	maxAckDelay = 250 * time.Millisecond
	// announceWait is the pause after which a worker whose process has not been
	// announced is synced again. The worker announces itself after 1 s without a sync,
	// and its lease of 2 s must not end meanwhile.
	unannouncedSyncInterval = 1250 * time.Millisecond
	// A worker that answers quickAnswers times in a row within quickAnswer and without
	// an end does not hold the call; its syncs are then paced by syncRetry.
	maxQuickResponses = 5
	quickResponseTime = 20 * time.Millisecond
	// commandRetry is the interval at which a revoke or a stop is repeated.
	commandRetryInterval = 250 * time.Millisecond
	// decideBatch bounds the placements of one Step or Apply.
	maxPlacementsPerDecision = 256
	// maxWait bounds how long a caller may wait for an outcome, and maxWaiters how
	// many may wait at once.
	maxCallWait = 2 * time.Minute
	maxWaiters  = 100_000
	// commitGrace is how long a call without waiting time waits for the commit of its
	// accept or cancel.
	minCommitWait = time.Second
	// unknownRetention keeps unknown records longer than finished ones, since a worker
	// with a journal can still resolve them.
	unknownRetention = 24 * time.Hour
	// expireBatch bounds the keys of one expire command.
	maxExpireKeys = 512
	// lostWorkerRetention is how long a lost worker stays listed.
	lostWorkerRetention = 10 * time.Minute
	// maxSuperseded bounds the former incarnations remembered for each worker.
	maxSuperseded = 16
	// maxMillis is the largest duration in milliseconds that a request may declare.
	maxDurationMillis = int64(366 * 24 * time.Hour / time.Millisecond)
	// maxResource is the largest amount in any dimension that a request may declare.
	maxResourceAmount = int64(1) << 40
	// maxTasks bounds the tasks of a gang, since its claim is one log entry with about
	// 60 B a task.
	maxTasks = 1024
	// maxNameBytes bounds caller, key and team, in bytes.
	maxNameBytes = 512
)

// withDefaults returns the configuration with zero values replaced.
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

// certainLease returns how long after the receipt of a token every lease and dispatch
// based on it has ended, on the owner's clock: L·(1+ρ).
func (c Config) leaseBound() time.Duration {
	return c.TaskLease + time.Duration(float64(c.TaskLease)*c.ClockRateBound) + time.Millisecond
}
