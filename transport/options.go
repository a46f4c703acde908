package transport

import (
	"context"
	"net"
	"time"
)

// MaxSilence is the time within which a connection that has gone silent is detected and replaced,
// by design section 4.4.
const MaxSilence = 1500 * time.Millisecond

// The default ping interval and timeout detect a silent connection within 1.4 s, and leave the rest
// of MaxSilence for delays of the two timers.
const (
	defaultPingInterval = 500 * time.Millisecond
	defaultPingTimeout  = MaxSilence - defaultPingInterval - 100*time.Millisecond
)

// PeerOptions configures a Peer. The zero value uses the defaults.
type PeerOptions struct {
	// CallTimeout bounds the duration of a call; the deadline of the context may be
	// earlier. Default 1 s. BulkTimeout is the same for bulk calls, default 5 s.
	CallTimeout, BulkTimeout time.Duration
	// PingInterval is the time between pings, default 500 ms. PingTimeout is how long
	// the pong may take, default 900 ms. Together they must stay below MaxSilence.
	PingInterval, PingTimeout time.Duration
	// DialTimeout bounds a dial and the first ping together, default 1 s.
	DialTimeout time.Duration
	// MinBackoff and MaxBackoff bound the backoff after a failed dial, default 50 ms
	// and 1 s.
	MinBackoff, MaxBackoff time.Duration
	// MaxMessageBytes bounds one encoded call or response, default 64 MiB.
	MaxMessageBytes int
	// Dial opens a connection; it defaults to a TCP dial.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// DefaultMaxMessageBytes is the default bound of an encoded call or response.
const DefaultMaxMessageBytes = 64 << 20

func (o PeerOptions) withDefaults() PeerOptions {
	setDefault(&o.CallTimeout, time.Second)
	setDefault(&o.BulkTimeout, 5*time.Second)
	setDefault(&o.PingInterval, defaultPingInterval)
	setDefault(&o.PingTimeout, defaultPingTimeout)
	setDefault(&o.DialTimeout, time.Second)
	setDefault(&o.MinBackoff, 50*time.Millisecond)
	setDefault(&o.MaxBackoff, time.Second)
	setDefault(&o.MaxMessageBytes, DefaultMaxMessageBytes)
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return o
}

// setDefault sets v to d unless v is positive.
func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
