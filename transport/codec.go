package transport

import (
	"bytes"
	"io"
	"net/rpc"
	"sync"

	"github.com/oleanderchute/oleanderchute/internal/codec"
	"github.com/pkg/errors"
)

// envelope precedes the body of each message.
type envelope struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Method string `cbor:"2,keyasint,omitempty"`
	Error  string `cbor:"3,keyasint,omitempty"`
	// NotRun is true if the server refused the call while shutting down. An error
	// text can't signal this reliably, since a method may return any text.
	NotRun bool `cbor:"4,keyasint,omitempty"`
}

// encodeMessage returns the encoded envelope followed by the encoded body.
func encodeMessage(e envelope, body any) ([]byte, error) {
	var buf bytes.Buffer
	if err := codec.EncMode.MarshalToBuffer(e, &buf); err != nil {
		return nil, err
	}
	if err := codec.EncMode.MarshalToBuffer(body, &buf); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// messageReader decodes the messages of one connection for net/rpc, which reads them
// from a single goroutine.
type messageReader struct {
	conn *framedConn
	body []byte // encoded body of the message whose envelope was read last
}

// readEnvelope returns the envelope of the next message, or io.EOF when the connection
// or stop is closed.
func (r *messageReader) readEnvelope(stop <-chan struct{}) (e envelope, err error) {
	select {
	case data := <-r.conn.incoming:
		r.body, err = codec.DecMode.UnmarshalFirst(data, &e)
		return e, errors.Wrap(err, "decode envelope")
	case <-r.conn.done:
		return e, io.EOF
	case <-stop:
		return e, io.EOF
	}
}

// decodeBody decodes the body of the current message, or skips it if into is nil.
func (r *messageReader) decodeBody(into any) error {
	if into == nil {
		return nil
	}
	return codec.DecMode.Unmarshal(r.body, into)
}

// clientCodec implements rpc.ClientCodec over a framedConn.
type clientCodec struct {
	messageReader
	// canceled carries the sequence numbers of calls that were canceled before they
	// were sent, so that net/rpc removes them from its pending calls.
	canceled       chan uint64
	isCancellation bool // the current response reports a canceled call
	// refusedSeqs holds the sequence numbers of calls that the server refused while it
	// was shutting down. The caller removes its entry when it reads the outcome.
	refusedSeqs sync.Map
}

// outgoingRequest is the argument value that a Peer passes to net/rpc. WriteRequest sets
// seq and msg, so that the Peer can cancel the call.
type outgoingRequest struct {
	args any
	seq  uint64
	msg  *message
}

// WriteRequest queues the call. It does not wait for the network.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	request := body.(*outgoingRequest)
	data, err := encodeMessage(envelope{Seq: r.Seq, Method: r.ServiceMethod}, request.args)
	if err != nil {
		return err
	}
	if len(data) > c.conn.maxMessageBytes {
		return errTooLarge
	}
	request.seq = r.Seq
	msg := &message{data: data}
	if err := c.conn.sendQueue.push(msg, false); err != nil {
		return err
	}
	request.msg = msg
	return nil
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	select {
	case r.Seq = <-c.canceled:
		c.isCancellation, r.Error = true, errCanceled.Error()
		return nil
	case data := <-c.conn.incoming:
		var e envelope
		var err error
		c.isCancellation = false
		c.body, err = codec.DecMode.UnmarshalFirst(data, &e)
		r.Seq, r.Error = e.Seq, e.Error
		if e.NotRun {
			c.refusedSeqs.Store(e.Seq, true)
		}
		return c.closeOnError(errors.Wrap(err, "decode envelope"))
	case <-c.conn.done:
		return io.EOF
	}
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	if c.isCancellation {
		return nil
	}
	return c.closeOnError(c.decodeBody(body))
}

// closeOnError closes the connection if err is not nil, since net/rpc stops reading
// after an error.
func (c *clientCodec) closeOnError(err error) error {
	if err != nil {
		c.conn.close(err)
	}
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	c.conn.close(errClosed)
	return nil
}

// serverCodec implements rpc.ServerCodec over a framedConn.
type serverCodec struct {
	messageReader
	stop <-chan struct{} // closed when the server stops accepting calls
	// lastOrderedDone is closed when the newest ordered call on this connection has been
	// handled; nil if there was none. It is owned by the goroutine that reads requests.
	lastOrderedDone <-chan struct{}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	e, err := c.readEnvelope(c.stop)
	r.Seq, r.ServiceMethod = e.Seq, e.Method
	return err
}

// ReadRequestBody implements rpc.ServerCodec. A body with the method orderAfter makes
// its call wait for the previous ordered call of the connection.
func (c *serverCodec) ReadRequestBody(body any) error {
	if err := c.decodeBody(body); err != nil {
		return err
	}
	if ordered, ok := body.(interface {
		orderAfter(previousDone <-chan struct{}) <-chan struct{}
	}); ok {
		c.lastOrderedDone = ordered.orderAfter(c.lastOrderedDone)
	}
	return nil
}

// WriteResponse queues the response. It blocks while the send queue is full.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	data, err := encodeMessage(envelope{Seq: r.Seq, Error: r.Error}, body)
	if err == nil && len(data) > c.conn.maxMessageBytes {
		err = errTooLarge
	}
	if err != nil {
		data, err = encodeMessage(envelope{Seq: r.Seq, Error: "encode answer: " + err.Error()}, struct{}{})
	}
	if err != nil {
		return err
	}
	return c.conn.sendQueue.push(&message{data: data}, true)
}

// Close lets the writer send the queued responses; the writer then closes the
// connection.
func (c *serverCodec) Close() error {
	c.conn.sendQueue.closeWhenEmpty()
	return nil
}
