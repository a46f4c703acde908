package asynclog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks all writes until release is closed, as a pipe that nobody reads does.
type blockedWriter struct {
	release      chan struct{}
	mu           sync.Mutex
	buf          bytes.Buffer
	longestWrite int
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longestWrite = max(w.longestWrite, len(p))
	return w.buf.Write(p)
}

// Guards against a process that blocks because nobody reads its log, lines that are dropped
// without being reported, and writes that are too large to be atomic on a pipe.
func TestWriteNeverBlocksAndDroppedLinesAreCounted(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 99) + "\n")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			n, err := w.Write(line)
			c.Check(n, qt.Equals, len(line))
			c.Check(err, qt.IsNil)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		c.Fatal("Write blocks while nobody reads the log")
	}
	close(out.release)
	w.Close()
	c.Assert(out.longestWrite <= maxWriteBytes, qt.IsTrue)
	c.Assert(out.buf.String(), qt.Contains, "log lines dropped")
	c.Assert(strings.Count(out.buf.String(), "x\n") > 0, qt.IsTrue)
}
