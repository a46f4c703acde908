package transport

import (
	"context"
	"net/rpc"
	"reflect"

	"github.com/pkg/errors"
)

// pendingCall is a call that is queued on a connection or in flight.
type pendingCall struct {
	method  string
	conn    *clientConn
	request *outgoingRequest
	call    *rpc.Call
	// reply belongs to the caller. net/rpc decodes into a separate value, since a
	// response may still arrive after the caller has given up.
	reply any
}

// startCall encodes and queues a call. The caller may change args after it returns.
func (m *managedConn) startCall(ctx context.Context, method string, args, reply any) (*pendingCall, error) {
	for {
		conn, err := m.waitForConn(ctx)
		if err != nil {
			return nil, &callError{ErrNotSent, method, err}
		}
		p := &pendingCall{method: method, conn: conn, request: &outgoingRequest{args: args}, reply: reply}
		freshReply := reflect.New(reflect.TypeOf(reply).Elem()).Interface()
		p.call = conn.rpc.Go(method, p.request, freshReply, make(chan *rpc.Call, 1))
		if p.request.msg != nil {
			return p, nil
		}
		<-p.call.Done
		if conn.isOpen() { // otherwise m is about to replace the connection
			return nil, &callError{ErrNotSent, method, p.call.Error}
		}
	}
}

// wait waits for the response and returns the error of the call. If ctx ends first, it
// cancels the call.
func (p *pendingCall) wait(ctx context.Context) error {
	select {
	case <-p.call.Done:
		return p.outcome()
	case <-ctx.Done():
	}
	if !p.request.msg.cancel() {
		return &callError{ErrNoResponse, p.method, ctx.Err()}
	}
	select {
	case p.conn.codec.canceled <- p.request.seq:
	case <-p.conn.framed.done:
	}
	return &callError{ErrNotSent, p.method, ctx.Err()}
}

// outcome sets the caller's reply or returns the error of a completed call.
func (p *pendingCall) outcome() error {
	err := p.call.Error
	if err == nil {
		reflect.ValueOf(p.reply).Elem().Set(reflect.ValueOf(p.call.Reply).Elem())
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		if _, wasRefused := p.conn.codec.refusedSeqs.LoadAndDelete(p.request.seq); wasRefused {
			return &callError{ErrNotSent, p.method, err}
		}
		return &RemoteError{Method: p.method, Text: string(remote)}
	}
	if cause := p.conn.framed.cause(); cause != nil {
		err = cause
	}
	if p.request.msg.cancel() {
		return &callError{ErrNotSent, p.method, err}
	}
	return &callError{ErrConnectionLost, p.method, err}
}
