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
	// socketBufferBytes bounds what the kernel holds before the network has taken it:
	// at 30 Mbit/s, 128 KiB delay a ping by 35 ms.
	socketBufferBytes = 128 << 10
)

// link sends and receives whole messages over one connection and answers pings. A
// reader and a writer goroutine belong to it; both end when it is closed.
type link struct {
	conn net.Conn
	out  *outbox
	in   chan []byte   // whole messages, from the reader
	done chan struct{} // closed when the link is

	maxMessage int           // bytes
	idle       time.Duration // the link closes when nothing arrives for as long; 0 means never

	mu       sync.Mutex // guards err
	err      error
	pongs    chan uint32
	progress chan struct{} // holds a token when part of a message has passed
	pingID   uint32        // owned by the goroutine that calls ping
	wg       sync.WaitGroup
}

func newLink(conn net.Conn, counter *byteCounter, maxMessage int, idle time.Duration) *link {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(socketBufferBytes)
	}
	l := &link{
		conn:       countingConn{conn, counter},
		out:        newOutbox(),
		in:         make(chan []byte),
		done:       make(chan struct{}),
		pongs:      make(chan uint32, 1),
		progress:   make(chan struct{}, 1),
		maxMessage: maxMessage,
		idle:       idle,
	}
	l.wg.Go(func() { l.close(l.read()) })
	l.wg.Go(func() { l.close(l.write()) })
	return l
}

// close ends the link with a cause; only the first cause counts.
func (l *link) close(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return
	}
	l.err = cause
	l.out.close()
	l.conn.Close()
	close(l.done)
}

// cause returns why the link is closed.
func (l *link) cause() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

func (l *link) write() error {
	buf := make([]byte, 0, 2*(chunkBytes+chunkHeader))
	for {
		out, ok := l.out.next(buf, chunkBytes)
		if !ok {
			return errClosed
		}
		if _, err := l.conn.Write(out); err != nil {
			return err
		}
	}
}

func (l *link) read() error {
	r := bufio.NewReaderSize(l.conn, readBufferBytes)
	var data []byte
	for {
		if l.idle > 0 {
			l.conn.SetReadDeadline(time.Now().Add(l.idle))
		}
		c, err := readChunk(r)
		if err != nil {
			return err
		}
		if c.kind != chunkData {
			l.control(c)
			continue
		}
		if data, err = l.readData(r, data, c); err != nil {
			return err
		}
		if !c.last {
			l.noteProgress()
			l.out.pushUrgent(chunk{kind: chunkProgress})
			continue
		}
		if !l.deliver(data) {
			return errClosed
		}
		data = nil
	}
}

func (l *link) control(c chunk) {
	switch c.kind {
	case chunkPing:
		l.out.pushUrgent(chunk{kind: chunkPong, number: c.number})
	case chunkProgress:
		l.noteProgress()
	case chunkPong:
		select {
		case l.pongs <- c.number:
		default:
		}
	}
}

func (l *link) noteProgress() {
	select {
	case l.progress <- struct{}{}:
	default:
	}
}

// readData appends the body of a chunk to data. It allocates as bytes arrive, not by
// a length that the peer claims.
func (l *link) readData(r io.Reader, data []byte, c chunk) ([]byte, error) {
	n := int(c.number)
	if len(data)+n > l.maxMessage {
		return nil, errTooLarge
	}
	at := len(data)
	data = append(data, make([]byte, n)...)
	_, err := io.ReadFull(r, data[at:])
	return data, err
}

func (l *link) deliver(data []byte) bool {
	select {
	case l.in <- data:
		return true
	case <-l.done:
		return false
	}
}

// ping sends a ping and waits for its answer, or for timeout after the newest
// progress. It must be called from one goroutine.
func (l *link) ping(timeout time.Duration) error {
	l.pingID++
	l.out.pushUrgent(chunk{kind: chunkPing, number: l.pingID})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case id := <-l.pongs:
			if id == l.pingID {
				return nil
			}
		case <-l.progress:
			timer.Reset(timeout)
		case <-timer.C:
			return errSilent
		case <-l.done:
			return l.cause()
		}
	}
}

// keepAlive pings until the link ends, and ends it when an answer is missing.
func (l *link) keepAlive(interval, timeout time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return l.cause()
		case <-ticker.C:
		}
		if err := l.ping(timeout); err != nil {
			l.close(err)
			return err
		}
	}
}
