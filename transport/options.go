package transport

import (
	"context"
	"net"
	"time"
)

// PeerOptions configures a Peer. The zero value uses the defaults.
type PeerOptions struct {
	// CallTimeout is the longest that a call may take; a context may shorten it.
	// Default 1 s. BulkTimeout is the same for bulk calls, default 5 s.
	CallTimeout, BulkTimeout time.Duration
	// PingInterval is the time between pings, default 500 ms. PingTimeout is how long
	// an answer may take, default 900 ms, so that a silent connection is found within
	// 1.4 s.
	PingInterval, PingTimeout time.Duration
	// DialTimeout bounds a dial and the first ping together, default 1 s.
	DialTimeout time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failed dial, default 50 ms
	// and 1 s.
	MinBackoff, MaxBackoff time.Duration
	// MaxMessageBytes bounds one encoded call or answer, default 64 MiB.
	MaxMessageBytes int
	// Dial defaults to a TCP dial.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// DefaultMaxMessageBytes bounds an encoded call or answer.
const DefaultMaxMessageBytes = 64 << 20

func (o PeerOptions) withDefaults() PeerOptions {
	setDefault(&o.CallTimeout, time.Second)
	setDefault(&o.BulkTimeout, 5*time.Second)
	setDefault(&o.PingInterval, 500*time.Millisecond)
	setDefault(&o.PingTimeout, 900*time.Millisecond)
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

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
