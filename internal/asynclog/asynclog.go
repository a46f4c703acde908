// Package asynclog writes log lines without blocking those who log. Lines wait in a bounded
// queue and are dropped, and counted, when it is full or when more come than the limit
// allows.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait for the writer.
	maxQueuedLines = 8192
	// bytesPerSecond bounds the volume; bursts may use what the last second left.
	maxBytesPerSecond = 512 << 10
	flushInterval     = 100 * time.Millisecond
	// writeBytes bounds one write, so that a pipe takes it as a whole (PIPE_BUF). A line
	// that is longer goes by itself.
	maxWriteBytes = 4096
)

// Writer implements zapcore.WriteSyncer. Close ends its goroutine.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	wg      sync.WaitGroup
}

// New starts a writer on out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, maxQueuedLines), stop: make(chan struct{})}
	w.wg.Go(w.run)
	return w
}

// Write queues a line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written within flushEvery.
func (w *Writer) Sync() error { return nil }

// Close writes what waits and ends the goroutine.
func (w *Writer) Close() {
	close(w.stop)
	w.wg.Wait()
}

func (w *Writer) run() {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	budget := maxBytesPerSecond
	for {
		stopping := false
		select {
		case <-ticker.C:
			budget = min(budget+int(maxBytesPerSecond*flushInterval/time.Second), maxBytesPerSecond)
		case <-w.stop:
			stopping = true
		}
		budget = w.flush(budget)
		if stopping {
			return
		}
	}
}

// flush writes the lines that wait, within the budget of bytes, and returns what is left.
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
		_, _ = w.out.Write(batch) // there is nowhere to report a log that cannot be written
	}
}
