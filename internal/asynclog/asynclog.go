// Package asynclog writes log lines without blocking the goroutines that log. Lines wait in
// a bounded queue. Lines that find the queue full or exceed the rate limit are dropped and
// counted.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of queued lines.
	maxQueuedLines = 8192
	// maxBytesPerSecond is the rate limit. A burst may use the unused part of the last
	// second.
	maxBytesPerSecond = 512 << 10
	flushInterval     = 100 * time.Millisecond
	// maxWriteBytes is the maximum size of one write. It is PIPE_BUF, so that writes to a
	// pipe are atomic. A longer line is written on its own.
	maxWriteBytes = 4096
)

// Writer implements zapcore.WriteSyncer with a goroutine that writes the queued lines. Close
// stops the goroutine.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	wg      sync.WaitGroup
}

// New returns a Writer that writes to out, and starts its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, maxQueuedLines), stop: make(chan struct{})}
	w.wg.Go(w.run)
	return w
}

// Write queues a copy of line. It never blocks and never fails: if the queue is full, the
// line is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, because lines are written within flushInterval.
func (w *Writer) Sync() error { return nil }

// Close writes the queued lines and stops the goroutine.
func (w *Writer) Close() {
	close(w.stop)
	w.wg.Wait()
}

// run writes the queued lines every flushInterval until Close is called.
func (w *Writer) run() {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	budget := maxBytesPerSecond
	for {
		isStopping := false
		select {
		case <-ticker.C:
			budget = min(budget+int(maxBytesPerSecond*flushInterval/time.Second), maxBytesPerSecond)
		case <-w.stop:
			isStopping = true
		}
		budget = w.flush(budget)
		if isStopping {
			return
		}
	}
}

// flush writes the queued lines and the number of lines dropped since the last flush. It
// drops lines that do not fit in budget, in bytes, and returns the budget left.
func (w *Writer) flush(budget int) int {
	var batch []byte
	for range len(w.queue) {
		line := <-w.queue
		if len(line) > budget {
			w.dropped.Add(1)
			continue
		}
		budget -= len(line)
		if len(batch)+len(line) > maxWriteBytes {
			w.write(batch)
			batch = batch[:0]
		}
		batch = append(batch, line...)
	}
	w.write(batch)
	if n := w.dropped.Swap(0); n > 0 {
		w.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n))
	}
	return budget
}

func (w *Writer) write(batch []byte) {
	if len(batch) > 0 {
		_, _ = w.out.Write(batch) // an error in writing the log cannot be reported
	}
}
