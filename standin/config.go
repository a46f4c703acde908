package standin

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Config configures a Worker. Worker and Journal are required; an optional field that
// is zero uses its default.
type Config struct {
	Worker        string
	Pool          string
	Rack          string
	FailureDomain string
	Region        string
	Capacity      api.Resources
	Slots         int
	// Connections is the connection limit that the worker announces. Connections beyond
	// it are journaled, not refused.
	Connections int
	// Listen is the TCP address to serve on; the default is 127.0.0.1:0.
	Listen string
	// URL is the announced base URL. The default is http:// followed by the listener's
	// address.
	URL string
	// Entries are the base URLs of the entry VMs. Announcements go to them in rotation.
	Entries []string
	// Journal is the path of the journal, to which events are appended. Required.
	Journal string
	// ReplayJournal makes Start read the journal, so that the worker knows the tasks of
	// earlier incarnations.
	ReplayJournal bool
	// DefaultRunTime is the run time of a task whose body does not set one; the default
	// is 20 ms.
	DefaultRunTime time.Duration
	// UsageDelay is how long a task runs before its resource usage is first reported;
	// the default is 1 s.
	UsageDelay time.Duration
	Faults     Faults
	Log        *zap.Logger

	// maxSyncWait and announceInterval default to the constants of the same names.
	// Tests override them.
	maxSyncWait, announceInterval time.Duration
}

const (
	defaultRunTime    = 20 * time.Millisecond
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
		c.DefaultRunTime = defaultRunTime
	}
	if c.UsageDelay <= 0 {
		c.UsageDelay = defaultUsageDelay
	}
	if c.maxSyncWait == 0 {
		c.maxSyncWait = maxSyncWait
	}
	if c.announceInterval == 0 {
		c.announceInterval = announceInterval
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return c, nil
}
