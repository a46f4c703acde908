package transport

import (
	"context"
	"net/rpc"
	"reflect"

	"github.com/pkg/errors"
)

// pendingCall is a call that has been queued on a connection.
type pendingCall struct {
	method string
	conn   *clientConn
	out    *outgoing
	call   *rpc.Call
	// reply is the caller's. net/rpc decodes into a value of its own, since an answer
	// may still arrive after the caller has given up.
	reply any
}

// begin encodes and queues a call; args may be changed when it returns.
func (l *lane) begin(ctx context.Context, method string, args, reply any) (*pendingCall, error) {
	for {
		conn, err := l.get(ctx)
		if err != nil {
			return nil, &callError{ErrNotSent, method, err}
		}
		p := &pendingCall{method: method, conn: conn, out: &outgoing{args: args}, reply: reply}
		fresh := reflect.New(reflect.TypeOf(reply).Elem()).Interface()
		p.call = conn.rpc.Go(method, p.out, fresh, make(chan *rpc.Call, 1))
		if p.out.msg != nil {
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
	if !p.out.msg.withdraw() {
		return &callError{ErrNoResponse, p.method, ctx.Err()}
	}
	select {
	case p.conn.codec.withdrawn <- p.out.seq:
	case <-p.conn.link.done:
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
		if _, refused := p.conn.codec.refused.LoadAndDelete(p.out.seq); refused {
			return &callError{ErrNotSent, p.method, err}
		}
		return &RemoteError{Method: p.method, Text: string(remote)}
	}
	if cause := p.conn.link.cause(); cause != nil {
		err = cause
	}
	if p.out.msg.withdraw() {
		return &callError{ErrNotSent, p.method, err}
	}
	return &callError{ErrConnectionLost, p.method, err}
}
