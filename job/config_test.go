package job

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/internal/codec"
)

// Guards against a first configuration that is lost because its version is that of a state without one, and
// against one that gives way to an older one or disappears with a restart.
func TestFirstConfigMayHaveAnyVersion(t *testing.T) {
	config := func(version int64, queue string) *Config {
		return &Config{Version: version, Queues: []Queue{{Name: queue, Pool: "p"}}, Pools: []Pool{{Name: "p"}}}
	}
	for _, version := range []int64{0, -7, 7} {
		c := qt.New(t)
		s := NewState()
		c.Check(s.HasConfig(), qt.IsFalse)
		s.Apply(Op{Config: config(version, "first")})
		s.Apply(Op{Config: config(version, "same version")})
		s.Apply(Op{Config: config(version-1, "older")})
		restored := NewState()
		c.Assert(restored.Restore(s.Snapshot()), qt.IsNil)
		for _, s := range []*State{s, restored} {
			c.Check(s.HasConfig(), qt.IsTrue)
			c.Check(s.Config().Version, qt.Equals, version)
			c.Check(s.Config().Queues[0].Name, qt.Equals, "first")
			s.Apply(Op{Config: config(version+1, "newer")})
			c.Check(s.Config().Queues[0].Name, qt.Equals, "newer")
		}
	}
}

// Guards against a snapshot of an earlier build, which does not say whether there is a configuration, that is
// restored with none or with one that was never sent.
func TestRestoreSnapshotOfEarlierBuild(t *testing.T) {
	type earlierSnapshot struct {
		Config     Config             `cbor:"1,keyasint"`
		Jobs       map[ID]*Job        `cbor:"2,keyasint"`
		Workers    map[uint32]*Worker `cbor:"3,keyasint"`
		Members    map[string]Member  `cbor:"4,keyasint"`
		LastWorker uint32             `cbor:"5,keyasint"`
	}
	for version, hasConfig := range map[int64]bool{0: false, 7: true} {
		c := qt.New(t)
		data, err := codec.EncMode.Marshal(earlierSnapshot{Config: Config{Version: version}})
		c.Assert(err, qt.IsNil)
		s := NewState()
		c.Assert(s.Restore(data), qt.IsNil)
		c.Check(s.HasConfig(), qt.Equals, hasConfig)

		// The other way round, an earlier build reads the configuration of this one.
		s.Apply(Op{Config: &Config{Version: version + 1}})
		var earlier earlierSnapshot
		c.Assert(codec.DecMode.Unmarshal(s.Snapshot(), &earlier), qt.IsNil)
		c.Check(earlier.Config.Version, qt.Equals, version+1)
	}
}

// Guards against queues that cannot be told apart by name, also where another queue has the name that one of them would get.
func TestQueuesOfOneNameAreRenamed(t *testing.T) {
	c := qt.New(t)
	config := Config{Queues: []Queue{{Name: "q", Host: "h", Prefix: "/a/"}, {Name: "q", Host: "h", Prefix: "/b/"}, {Name: "q (h/b/)", Host: "h", Prefix: "/c/"},
		{Name: "other", Host: "h", Prefix: "/d/"}, {Name: "q", Host: "h", Prefix: "/e/"}}}
	config.NameQueuesUniquely()
	names := map[string]bool{}
	for _, q := range config.Queues {
		names[q.Name] = true
	}
	c.Check(names, qt.HasLen, len(config.Queues))
	c.Check(config.Queues[0].Name, qt.Equals, "q")
	c.Check(config.Queues[3].Name, qt.Equals, "other")
}
