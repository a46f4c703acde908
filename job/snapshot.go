package job

import (
	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/internal/codec"
)

// stateSnapshot is the encoded form of a State.
type stateSnapshot struct {
	Config     Config             `cbor:"1,keyasint"`
	Jobs       map[ID]*Job        `cbor:"2,keyasint"`
	Workers    map[uint32]*Worker `cbor:"3,keyasint"`
	Members    map[string]Member  `cbor:"4,keyasint"`
	LastWorker uint32             `cbor:"5,keyasint"`
	// HasConfig is not in snapshots of earlier builds, which applied no configuration of a version below 1.
	HasConfig bool `cbor:"6,keyasint,omitempty"`
}

// Snapshot encodes the state.
func (s *State) Snapshot() []byte {
	data, err := codec.EncMode.Marshal(stateSnapshot{*s.config, s.jobs, s.workers, s.members, s.lastWorker, s.hasConfig})
	if err != nil {
		panic("job: encode state: " + err.Error())
	}
	return data
}

// Restore replaces the state by a snapshot. If the snapshot cannot be decoded, it returns an
// error and leaves the state unchanged.
func (s *State) Restore(data []byte) error {
	var snapshot stateSnapshot
	if err := codec.DecMode.Unmarshal(data, &snapshot); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	fresh := NewState()
	fresh.config, fresh.lastWorker = &snapshot.Config, snapshot.LastWorker
	fresh.hasConfig = snapshot.HasConfig || snapshot.Config.Version > 0
	fresh.queues, fresh.accounts = newQueueIndex(fresh.config.Queues), newAccountIndex(fresh.config.Accounts)
	if snapshot.Jobs != nil {
		fresh.jobs = snapshot.Jobs
	}
	for id, j := range fresh.jobs {
		if j.Outcome == Open {
			fresh.openJobs[id] = j
		}
	}
	if snapshot.Workers != nil {
		fresh.workers = snapshot.Workers
	}
	if snapshot.Members != nil {
		fresh.members = snapshot.Members
	}
	*s = *fresh
	return nil
}
