// Package transport carries net/rpc calls between VMs over TCP.
//
// A Peer keeps two connections to one VM, the control and the bulk connection, so that
// large bodies do not delay control messages. Every call has a deadline. Each connection
// is checked by pings; a connection on which neither a pong nor progress of a message
// arrives is closed and replaced within MaxSilence. Messages are split into frames and
// pings are sent between them, so that a large message on a slow connection does not
// look like a dead connection.
//
// The error of a call tells whether the call may have been executed: with ErrNotSent it
// was certainly not executed; with ErrConnectionLost and ErrNoResponse it may have been.
package transport
