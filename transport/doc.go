// Package transport carries net/rpc calls between VMs over TCP.
//
// A Peer keeps two connections ("lanes") to one VM, so that large bodies do not delay
// control messages. Every call has a deadline. Each connection is checked by a ping
// every 500 ms; one that is silent for 1.5 s is closed and replaced. Messages are cut
// into chunks and pings go between the chunks, so that a large message on a slow link
// does not look like silence.
//
// The error of a call tells whether it may have been executed: ErrNotSent says
// certainly not; ErrConnectionLost and ErrNoAnswer say that it may have been.
package transport
