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

// entryVM records announcements.
type entryVM struct {
	mu   sync.Mutex
	list []api.Announcement
	at   []time.Time
	more chan struct{}
}

func (e *entryVM) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	var a api.Announcement
	json.NewDecoder(r.Body).Decode(&a)
	e.mu.Lock()
	e.list, e.at = append(e.list, a), append(e.at, time.Now())
	e.mu.Unlock()
	select {
	case e.more <- struct{}{}:
	default:
	}
}

// wait returns after the next announcement.
func (e *entryVM) wait(c *qt.C) {
	select {
	case <-e.more:
	case <-time.After(20 * time.Second):
		c.Fatal("no announcement")
	}
}

func (e *entryVM) last() (api.Announcement, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list[len(e.list)-1], len(e.list)
}

// Guards against a worker that nobody hears of because one entry VM is down, that
// announces although its owner syncs, or that leaves without saying so.
func TestAnnouncements(t *testing.T) {
	c := qt.New(t)
	entry := &entryVM{more: make(chan struct{}, 1)}
	up := httptest.NewServer(entry)
	defer up.Close()
	down := httptest.NewServer(nil)
	down.Close()
	w := startWorker(c, func(cfg *Config) {
		cfg.Entries = []string{down.URL, up.URL}
		cfg.announceEvery = 20 * time.Millisecond
	})
	for range 3 {
		entry.wait(c)
	}
	a, _ := entry.last()
	c.Assert(a.Incarnation, qt.Equals, w.Incarnation())
	c.Assert(a.URL, qt.Equals, w.URL())

	inc := w.current()
	synced := time.Now()
	_, err := inc.sync(syncOf(inc, 1))
	c.Assert(err, qt.IsNil)
	_, n := entry.last()
	for now := n; now < n+2; _, now = entry.last() { // one may have been under way
		entry.wait(c)
	}
	entry.mu.Lock()
	next := entry.at[n+1]
	entry.mu.Unlock()
	c.Assert(next.Sub(synced) >= announceInterval*9/10, qt.IsTrue, qt.Commentf("%v", next.Sub(synced)))

	_, err = inc.sync(syncOf(inc, 1))
	c.Assert(err, qt.IsNil)
	c.Assert(w.Leave(context.Background()), qt.IsNil)
	a, _ = entry.last()
	c.Assert(a.Leaving, qt.IsTrue) // although it had nothing to wait for
}

// Guards against a leave that interrupts a task, loses its answer or is not announced.
func TestLeaveFinishesTasks(t *testing.T) {
	c := qt.New(t)
	entry := &entryVM{more: make(chan struct{}, 1)}
	up := httptest.NewServer(entry)
	defer up.Close()
	down := httptest.NewServer(nil)
	down.Close()
	w := startWorker(c, func(cfg *Config) { cfg.Entries = []string{down.URL, up.URL}; cfg.announceEvery = time.Hour })
	entry.wait(c)
	inc := w.current()
	_, err := inc.dispatch(dispatchOf(inc, "k", `{"run_ms":50}`))
	c.Assert(err, qt.IsNil)
	left := make(chan error, 1)
	go func() { left <- w.Leave(context.Background()) }()
	for a, _ := entry.last(); !a.Leaving; a, _ = entry.last() {
		entry.wait(c)
	}
	c.Assert(awaitEnd(c, inc, 1, taskID("k", 1)).Kind, qt.Equals, api.EndDone)
	select {
	case err := <-left:
		c.Fatalf("left before the end was acknowledged: %v", err)
	default:
	}
	_, err = inc.sync(syncOf(inc, 1, taskID("k", 1)))
	c.Assert(err, qt.IsNil)
	c.Assert(<-left, qt.IsNil)
}
