package transport

import (
	"context"
	"net/rpc"
	"reflect"

	"github.com/pkg/errors"
)

// pendingCall is a call that has been queued on a connection.
type pendingCall struct {
	method  string
	conn    *clientConn
	request *outgoingRequest
	call    *rpc.Call
	// reply is the caller's. net/rpc decodes into a value of its own, since an answer
	// may still arrive after the caller has given up.
	reply any
}

// begin encodes and queues a call; args may be changed when it returns.
func (m *managedConn) startCall(ctx context.Context, method string, args, reply any) (*pendingCall, error) {
	for {
		conn, err := m.waitForConn(ctx)
		if err != nil {
			return nil, &callError{ErrNotSent, method, err}
		}
		p := &pendingCall{method: method, conn: conn, request: &outgoingRequest{args: args}, reply: reply}
		replyCopy := reflect.New(reflect.TypeOf(reply).Elem()).Interface()
		p.call = conn.rpc.Go(method, p.request, replyCopy, make(chan *rpc.Call, 1))
		if p.request.msg != nil {
			return p, nil
		}
		<-p.call.Done
		if conn.isOpen() { // otherwise the lane is about to replace it
			return nil, &callError{ErrNotSent, method, p.call.Error}
		}
	}
}

// wait returns the outcome of the call.
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
