package cell

import (
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/dispatch"
)

// Settings of one VM of a cell.
type Settings struct {
	// Address is where the other VMs reach this one; Public is where operators and workers
	// do, empty on an entry VM.
	Address, PublicAddress string
	FailureDomain, Region  string // failure domain and region
	// Seeds are the addresses of keepers, as they were when the settings were written.
	Seeds []string
	// DataDir is empty on an entry VM.
	DataDir string
	// FirstStart means that the whole cell starts for the first time, with empty disks.
	FirstStart bool
	// HomeRegion is where the leader should be: the region with most failure domains, so
	// that a quorum is near. Empty means anywhere.
	HomeRegion string
	// Losses is the number of keepers that may be lost at once.
	FaultTolerance int
	Dispatch       dispatch.Settings
}

// Check refuses settings that cannot work and names the field.
func (s Settings) Check() error {
	switch {
	case s.Address == "":
		return errors.New("settings: the address for other VMs is missing")
	case len(s.Seeds) == 0:
		return errors.New("settings: there are no seeds")
	case s.FaultTolerance < 0:
		return errors.Errorf("settings: losses %d is negative", s.FaultTolerance)
	}
	return nil
}

func (s Settings) keeper() bool { return s.DataDir != "" }

// voters is the number of voters that bears the loss of Losses of them.
func (s Settings) voters() int { return 2*s.FaultTolerance + 1 }

const (
	heartbeatInterval = 60 * time.Millisecond
	// electionTimeout bears the way to the other region and back (24 ms), a sync on a disk
	// that is thirty times slower (180 ms) and a lost heartbeat.
	electionTimeout = 400 * time.Millisecond
	leaderLease     = 350 * time.Millisecond
	// farElectionDelay makes keepers outside the home region stand later.
	farElectionDelay = 200 * time.Millisecond
	// attemptTimeout bounds one attempt of a call that is passed on, so that a leader that
	// stands still is found soon. Calls may be repeated.
	attemptTimeout = 400 * time.Millisecond
	// callTimeout bounds one call between VMs: a commit with both regions and slow disks
	// takes about 100 ms.
	callTimeout = 900 * time.Millisecond
	// joinInterval is how often a VM tells the leader of itself.
	joinInterval = 500 * time.Millisecond
	// memberSilence is how long a VM may be silent before others are preferred to it.
	memberSilence = 3 * time.Second
	// readyFor is how long an entry VM counts as ready after the last word of a keeper.
	readyFor = 3 * time.Second
	// orderTimeout bounds a start or a stop: a way to the other region and back takes
	// 24 ms, a worker that has accepted an order answers at once.
	orderTimeout = 600 * time.Millisecond
	// holdGrace is added to the wait of a RenewLease.
	holdGrace = 700 * time.Millisecond
)
