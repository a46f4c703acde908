package standin

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Config describes a worker. The zero value of optional fields uses the defaults.
type Config struct {
	Worker        string
	Pool          string
	Rack          string
	FailureDomain string
	Region        string
	Capacity      api.Resources
	Slots         int
	// Connections is how many connections the worker says it accepts; more are
	// journaled, not refused.
	Connections int
	// Listen is the TCP address to serve on, default 127.0.0.1:0.
	Listen string
	// URL is announced; it defaults to http:// and the listener's address.
	URL string
	// Entries are the base URLs of entry VMs that get the announcements, in turn.
	Entries []string
	// Journal is the path of the journal; it is appended to. Required.
	Journal string
	// Memory makes a start read the journal, so that the worker knows the tasks of
	// former incarnations.
	ReplayJournal bool
	// DefaultRun is the run time of a task whose body does not say, default 20 ms.
	DefaultRunTime time.Duration
	// UsageDelay is the age at which a running task's use is first reported, default
	// 1 s.
	UsageDelay time.Duration
	Faults     Faults
	Log        *zap.Logger

	// Tests change these two; they default to maxWait and announceInterval.
	syncWait, announceEvery time.Duration
}

const (
	defaultRun        = 20 * time.Millisecond
	defaultUsageDelay = time.Second
	defaultListen     = "127.0.0.1:0"
)

func (c Config) withDefaults() (Config, error) {
	if c.Worker == "" || c.Journal == "" {
		return c, errors.New("standin: Worker and Journal are required")
	}
	if c.Listen == "" {
		c.Listen = defaultListen
	}
	if c.DefaultRunTime <= 0 {
		c.DefaultRunTime = defaultRun
	}
	if c.UsageDelay <= 0 {
		c.UsageDelay = defaultUsageDelay
	}
	if c.syncWait == 0 {
		c.syncWait = maxWait
	}
	if c.announceEvery == 0 {
		c.announceEvery = announceInterval
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return c, nil
}
