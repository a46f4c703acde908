package cell

import (
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/dispatch"
)

// Settings configure one VM of a cell.
type Settings struct {
	// Address is where the other VMs reach this one. PublicAddress is where operators and
	// workers reach it; it is empty on an entry VM.
	Address, PublicAddress string
	FailureDomain, Region  string
	// Seeds are the addresses of the keepers at the time the settings were written.
	Seeds []string
	// DataDir is the data folder of a keeper. It is empty on an entry VM.
	DataDir string
	// FirstStart reports that the whole cell starts for the first time, with empty disks.
	FirstStart bool
	// HomeRegion is the preferred region of the leader: the region with the most failure
	// domains, so that a quorum is nearby. Empty means no preference.
	HomeRegion string
	// FaultTolerance is the number of keepers that may be lost simultaneously.
	FaultTolerance int
	Dispatch       dispatch.Settings
}

// Check returns an error that names the first invalid field.
func (s Settings) Check() error {
	switch {
	case s.Address == "":
		return errors.New("settings: the address for other VMs is missing")
	case len(s.Seeds) == 0:
		return errors.New("settings: there are no seeds")
	case s.FaultTolerance < 0:
		return errors.Errorf("settings: fault tolerance %d is negative", s.FaultTolerance)
	}
	return nil
}

func (s Settings) isKeeper() bool { return s.DataDir != "" }

// voterCount returns the number of voters that tolerates the loss of FaultTolerance voters.
func (s Settings) voterCount() int { return 2*s.FaultTolerance + 1 }

const (
	heartbeatInterval = 60 * time.Millisecond
	// electionTimeout tolerates a round trip to the other region (24 ms), a sync on a disk
	// that is thirty times slower than usual (180 ms) and one lost heartbeat.
	electionTimeout = 400 * time.Millisecond
	leaderLease     = 350 * time.Millisecond
	// remoteElectionDelay makes keepers outside the home region start elections later.
	remoteElectionDelay = 200 * time.Millisecond
	// attemptTimeout bounds one attempt of a forwarded call, so that a leader that hangs is
	// detected soon. Calls are idempotent and may be retried.
	attemptTimeout = 400 * time.Millisecond
	// callTimeout bounds one call between VMs. A commit across both regions with slow disks
	// takes about 100 ms.
	callTimeout = 900 * time.Millisecond
	// dialTimeout and maxDialBackoff bound how long a VM that has returned is not reached because an
	// earlier attempt to connect has not ended. Together they are as long as the processes take to
	// start and elect a leader after a power loss of all keepers. Connecting to the other region takes
	// two round trips of 24 ms.
	dialTimeout    = 300 * time.Millisecond
	maxDialBackoff = 200 * time.Millisecond
	// joinInterval is how often a VM sends Join to the leader.
	joinInterval = 500 * time.Millisecond
	// memberSilenceTimeout is how long a VM may be silent before it no longer calls the advisor
	// for the leader and, as a voter, may be replaced by a keeper that is alive.
	memberSilenceTimeout = 3 * time.Second
	// readyTimeout is how long a VM is ready after the last reply from another VM.
	readyTimeout = 3 * time.Second
	// orderTimeout bounds a start or a stop. A round trip to the other region takes 24 ms,
	// and a worker that has accepted an order replies immediately.
	orderTimeout = 600 * time.Millisecond
	// renewLeaseGrace is added to MaxWait of a RenewLease to get the timeout of the call.
	renewLeaseGrace = 700 * time.Millisecond
)
