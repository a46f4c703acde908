package transport

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"
)

const (
	readBufferBytes = 64 << 10
	// socketBufferBytes bounds the unsent bytes that the kernel buffers: at 30 Mbit/s,
	// 128 KiB delay a ping by 35 ms.
	socketBufferBytes = 128 << 10
)

// framedConn sends and receives whole messages over one connection and answers pings.
// It runs a reader and a writer goroutine; both end when it is closed.
type framedConn struct {
	conn      net.Conn
	sendQueue *sendQueue
	incoming  chan []byte   // whole messages, from the reader
	done      chan struct{} // closed when the framedConn is closed

	maxMessageBytes int
	idleTimeout     time.Duration // the connection is closed when nothing arrives for this long; 0 means never

	mu       sync.Mutex // guards closeErr
	closeErr error
	pongs    chan uint32   // IDs of received pongs
	progress chan struct{} // holds a token when part of a message was sent or received
	pingID   uint32        // owned by the goroutine that calls ping
	wg       sync.WaitGroup
}

func newFramedConn(conn net.Conn, counter *byteCounter, maxMessageBytes int, idleTimeout time.Duration) *framedConn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(socketBufferBytes)
	}
	f := &framedConn{
		conn:            countingConn{conn, counter},
		sendQueue:       newSendQueue(),
		incoming:        make(chan []byte),
		done:            make(chan struct{}),
		pongs:           make(chan uint32, 1),
		progress:        make(chan struct{}, 1),
		maxMessageBytes: maxMessageBytes,
		idleTimeout:     idleTimeout,
	}
	f.wg.Go(func() { f.close(f.read()) })
	f.wg.Go(func() { f.close(f.write()) })
	return f
}

// close closes the connection and records the cause of the first call.
func (f *framedConn) close(cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closeErr != nil {
		return
	}
	f.closeErr = cause
	f.sendQueue.close()
	f.conn.Close()
	close(f.done)
}

// cause returns why the connection was closed, or nil while it is open.
func (f *framedConn) cause() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closeErr
}

// write writes queued frames until the send queue is closed or a write fails.
func (f *framedConn) write() error {
	buf := make([]byte, 0, 2*(maxFrameBodyBytes+frameHeaderBytes))
	for {
		out, ok := f.sendQueue.nextFrames(buf, maxFrameBodyBytes)
		if !ok {
			return errClosed
		}
		if _, err := f.conn.Write(out); err != nil {
			return err
		}
	}
}

// read handles incoming frames and delivers complete messages until an error occurs.
func (f *framedConn) read() error {
	r := bufio.NewReaderSize(f.conn, readBufferBytes)
	var data []byte
	for {
		if f.idleTimeout > 0 {
			f.conn.SetReadDeadline(time.Now().Add(f.idleTimeout))
		}
		header, err := readFrameHeader(r)
		if err != nil {
			return err
		}
		if header.kind != frameData {
			f.handleKeepAliveFrame(header)
			continue
		}
		if data, err = f.readData(r, data, header); err != nil {
			return err
		}
		if !header.last {
			f.signalProgress()
			f.sendQueue.pushPriority(frame{kind: frameProgress})
			continue
		}
		if !f.deliver(data) {
			return errClosed
		}
		data = nil
	}
}

// handleKeepAliveFrame handles a ping, pong or progress frame.
func (f *framedConn) handleKeepAliveFrame(header frame) {
	switch header.kind {
	case framePing:
		f.sendQueue.pushPriority(frame{kind: framePong, lengthOrID: header.lengthOrID})
	case frameProgress:
		f.signalProgress()
	case framePong:
		select {
		case f.pongs <- header.lengthOrID:
		default:
		}
	}
}

// signalProgress tells ping that part of a message was sent or received.
func (f *framedConn) signalProgress() {
	select {
	case f.progress <- struct{}{}:
	default:
	}
}

// readData appends the body of a frame to data. It allocates memory frame by frame as
// data arrives, not for a message length that the peer claims.
func (f *framedConn) readData(r io.Reader, data []byte, header frame) ([]byte, error) {
	n := int(header.lengthOrID)
	if len(data)+n > f.maxMessageBytes {
		return nil, errTooLarge
	}
	offset := len(data)
	data = append(data, make([]byte, n)...)
	_, err := io.ReadFull(r, data[offset:])
	return data, err
}

// deliver passes a message to the receiver and reports whether it was received before
// the connection was closed.
func (f *framedConn) deliver(data []byte) bool {
	select {
	case f.incoming <- data:
		return true
	case <-f.done:
		return false
	}
}

// ping sends a ping and waits for the pong. It returns errPingTimeout if neither the
// pong nor progress of a message arrives within timeout. It must not be called
// concurrently.
func (f *framedConn) ping(timeout time.Duration) error {
	f.pingID++
	f.sendQueue.pushPriority(frame{kind: framePing, lengthOrID: f.pingID})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case id := <-f.pongs:
			if id == f.pingID {
				return nil
			}
		case <-f.progress:
			timer.Reset(timeout)
		case <-timer.C:
			return errPingTimeout
		case <-f.done:
			return f.cause()
		}
	}
}

// keepAlive pings until the connection is closed, and closes it when a ping fails.
func (f *framedConn) keepAlive(interval, timeout time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-f.done:
			return f.cause()
		case <-ticker.C:
		}
		if err := f.ping(timeout); err != nil {
			f.close(err)
			return err
		}
	}
}
