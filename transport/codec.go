package transport

import (
	"bytes"
	"io"
	"net/rpc"
	"sync"

	"github.com/oleanderchute/oleanderchute/internal/codec"
	"github.com/pkg/errors"
)

// envelope goes before the body of each message.
type envelope struct {
	Seq    uint64 `cbor:"1,keyasint"`
	Method string `cbor:"2,keyasint,omitempty"`
	Error  string `cbor:"3,keyasint,omitempty"`
	// NotRun is true if the server refused the call while shutting down. An error
	// text could not say so reliably, since a method may return any text.
	NotRun bool `cbor:"4,keyasint,omitempty"`
}

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

// receiver decodes the messages of one link for net/rpc, which reads them from one
// goroutine.
type messageReader struct {
	conn *framedConn
	body []byte
}

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

func (r *messageReader) decodeBody(into any) error {
	if into == nil {
		return nil
	}
	return codec.DecMode.Unmarshal(r.body, into)
}

// clientCodec implements rpc.ClientCodec over a link.
type clientCodec struct {
	messageReader
	// withdrawn carries the sequence numbers of calls that were withdrawn before they
	// were sent, so that net/rpc forgets them.
	canceled       chan uint64
	isCancellation bool // the present response is such a one
	// refused holds the sequence numbers of calls that the server refused while it
	// was shutting down, until their callers have seen it.
	refusedSeqs sync.Map
}

// outgoing is what a Peer gives net/rpc as arguments; it returns the message that
// carries them.
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

// closeOn closes the link after an error, since net/rpc stops reading then.
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

// serverCodec implements rpc.ServerCodec over a link.
type serverCodec struct {
	messageReader
	stop <-chan struct{} // closed when the server takes no more calls
	// lastTurn ends when the newest ordered call on this link has been handled. It is
	// owned by the goroutine that reads requests.
	lastOrderedDone <-chan struct{}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	e, err := c.readEnvelope(c.stop)
	r.Seq, r.ServiceMethod = e.Seq, e.Method
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	if err := c.decodeBody(body); err != nil {
		return err
	}
	if ordered, ok := body.(interface {
		enqueue(after <-chan struct{}) <-chan struct{}
	}); ok {
		c.lastOrderedDone = ordered.enqueue(c.lastOrderedDone)
	}
	return nil
}

// WriteResponse queues the answer. It waits while the queue of the link is full.
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

// Close lets the answers that wait be written. The link ends with its writer.
func (c *serverCodec) Close() error {
	c.conn.sendQueue.closeWhenEmpty()
	return nil
}
