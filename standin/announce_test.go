package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/api"
)

// entryVM records the announcements that it receives.
type entryVM struct {
	mu            sync.Mutex
	announcements []api.Announcement
	receivedAt    []time.Time
	received      chan struct{}
}

func (e *entryVM) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	var a api.Announcement
	json.NewDecoder(r.Body).Decode(&a)
	e.mu.Lock()
	e.announcements, e.receivedAt = append(e.announcements, a), append(e.receivedAt, time.Now())
	e.mu.Unlock()
	select {
	case e.received <- struct{}{}:
	default:
	}
}

// awaitNext waits until an announcement has arrived since the last call.
func (e *entryVM) awaitNext(c *qt.C) {
	select {
	case <-e.received:
	case <-time.After(20 * time.Second):
		c.Fatal("no announcement")
	}
}

func (e *entryVM) last() (api.Announcement, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.announcements[len(e.announcements)-1], len(e.announcements)
}

// Guards against a worker that is never announced because one entry VM is down, that
// announces itself although its owner syncs, or that leaves without announcing it.
func TestAnnouncements(t *testing.T) {
	c := qt.New(t)
	entry := &entryVM{received: make(chan struct{}, 1)}
	up := httptest.NewServer(entry)
	defer up.Close()
	down := httptest.NewServer(nil)
	down.Close()
	w := startWorker(c, func(cfg *Config) {
		cfg.Entries = []string{down.URL, up.URL}
		cfg.announceInterval = 20 * time.Millisecond
	})
	for range 3 {
		entry.awaitNext(c)
	}
	a, _ := entry.last()
	c.Assert(a.Incarnation, qt.Equals, w.Incarnation())
	c.Assert(a.URL, qt.Equals, w.URL())

	inc := w.current()
	synced := time.Now()
	_, err := inc.sync(newSyncRequest(inc, 1))
	c.Assert(err, qt.IsNil)
	_, n := entry.last()
	for now := n; now < n+2; _, now = entry.last() { // one may have been in flight
		entry.awaitNext(c)
	}
	entry.mu.Lock()
	next := entry.receivedAt[n+1]
	entry.mu.Unlock()
	c.Assert(next.Sub(synced) >= announceInterval*9/10, qt.IsTrue, qt.Commentf("%v", next.Sub(synced)))

	_, err = inc.sync(newSyncRequest(inc, 1))
	c.Assert(err, qt.IsNil)
	c.Assert(w.Leave(context.Background()), qt.IsNil)
	a, _ = entry.last()
	c.Assert(a.Leaving, qt.IsTrue) // announced even though nothing was running
}

// Guards against a leaving worker that interrupts a task, loses its answer, or does not
// announce that it leaves.
func TestLeaveFinishesTasks(t *testing.T) {
	c := qt.New(t)
	entry := &entryVM{received: make(chan struct{}, 1)}
	up := httptest.NewServer(entry)
	defer up.Close()
	down := httptest.NewServer(nil)
	down.Close()
	w := startWorker(c, func(cfg *Config) { cfg.Entries = []string{down.URL, up.URL}; cfg.announceInterval = time.Hour })
	entry.awaitNext(c)
	inc := w.current()
	_, err := inc.dispatch(newDispatch(inc, "k", `{"run_ms":50}`))
	c.Assert(err, qt.IsNil)
	left := make(chan error, 1)
	go func() { left <- w.Leave(context.Background()) }()
	for a, _ := entry.last(); !a.Leaving; a, _ = entry.last() {
		entry.awaitNext(c)
	}
	c.Assert(awaitEnd(c, inc, 1, taskID("k", 1)).Kind, qt.Equals, api.EndDone)
	select {
	case err := <-left:
		c.Fatalf("left before the end was acknowledged: %v", err)
	default:
	}
	_, err = inc.sync(newSyncRequest(inc, 1, taskID("k", 1)))
	c.Assert(err, qt.IsNil)
	c.Assert(<-left, qt.IsNil)
}
