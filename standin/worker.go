package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Worker is a running stand-in worker.
type Worker struct {
	cfg               Config
	url               string
	faults            *faultSwitch
	journal           *journal
	server            *http.Server
	closed            chan struct{}
	announceRequested chan struct{} // requests an immediate announcement
	cancel            context.CancelFunc
	closeOnce         sync.Once // guards closed
	wg                sync.WaitGroup
	conns             atomic.Int64 // open connections

	mu  sync.Mutex // guards inc
	inc *incarnation
}

// Start starts a worker that serves and announces itself until Close or Leave.
func Start(cfg Config) (*Worker, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	j, err := openJournal(cfg.Journal)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		j.close()
		return nil, errors.Wrap(err, "listen")
	}
	w := &Worker{cfg: cfg, url: cfg.URL, faults: newFaultSwitch(cfg.Faults), journal: j,
		closed: make(chan struct{}), announceRequested: make(chan struct{}, 1)}
	if w.url == "" {
		w.url = "http://" + listener.Addr().String()
	}
	if err := w.Restart(cfg.ReplayJournal); err != nil {
		listener.Close()
		j.close()
		return nil, err
	}
	w.serve(listener)
	return w, nil
}

func (w *Worker) serve(listener net.Listener) {
	const headerTimeout = 5 * time.Second
	w.server = &http.Server{Handler: w.handler(), ReadHeaderTimeout: headerTimeout, ConnState: w.countConnection}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.wg.Go(func() { w.server.Serve(listener) })
	w.wg.Go(func() { (&announcer{w: w}).run(ctx, w.announceRequested) })
}

// countConnection tracks the open connections and journals each that exceeds the declared
// limit.
func (w *Worker) countConnection(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		n := int(w.conns.Add(1))
		if w.cfg.Connections > 0 && n > w.cfg.Connections {
			inc := w.current()
			inc.mu.Lock()
			defer inc.mu.Unlock()
			inc.record(Event{Kind: EventConnections, Connections: n}, api.TaskID{})
		}
	case http.StateClosed, http.StateHijacked:
		w.conns.Add(-1)
	}
}

func (w *Worker) current() *incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inc
}

// URL returns the announced base URL.
func (w *Worker) URL() string { return w.url }

// Incarnation returns the ID of the current incarnation.
func (w *Worker) Incarnation() string { return w.current().id }

// SetFaults replaces all active faults.
func (w *Worker) SetFaults(f Faults) { w.faults.set(f) }

// Restart ends the current incarnation with all its tasks, as a crash of the process
// would, and starts a new one. If replay is true, the new one replays the journal.
func (w *Worker) Restart(replay bool) error {
	next, err := newIncarnation(w.cfg, w.faults, w.journal)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inc != nil {
		if w.inc.hasEnded() {
			return errEnded // the worker is closed
		}
		w.inc.terminate()
	}
	if replay {
		events, err := ReadJournal(w.cfg.Journal)
		if err != nil {
			return err
		}
		next.replayJournal(events, time.Now())
	}
	if err := next.recordBoot(); err != nil {
		return err
	}
	w.inc = next
	w.wg.Go(next.writeHeartbeats)
	w.requestAnnouncement()
	w.cfg.Log.Info("incarnation starts", zap.String("worker", w.cfg.Worker),
		zap.String("incarnation", next.id), zap.String("url", w.url), zap.Bool("memory", replay))
	return nil
}

// requestAnnouncement asks the announcer for an immediate announcement. It does not block.
func (w *Worker) requestAnnouncement() {
	select {
	case w.announceRequested <- struct{}{}:
	default:
	}
}

// Leave announces that the worker is leaving, refuses new tasks, waits until all running
// tasks have ended and their ends are acknowledged, and closes the worker. If ctx ends
// first, Leave closes the worker immediately and returns the context's error.
func (w *Worker) Leave(ctx context.Context) error {
	inc := w.current()
	inc.setLeaving(true)
	a := announcer{w: w}
	a.announce(ctx)
	a.client.CloseIdleConnections()
	err := inc.waitIdle(ctx)
	if err == nil {
		// Let the sync that carried the last acknowledgement get its response.
		const shutdownTimeout = time.Second
		ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
		defer cancel()
		w.server.Shutdown(ctx)
	}
	w.Close()
	return err
}

func (inc *incarnation) setLeaving(leaving bool) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	inc.leaving = leaving
	inc.notify()
}

// waitIdle waits until the incarnation is idle.
func (inc *incarnation) waitIdle(ctx context.Context) error {
	for {
		inc.mu.Lock()
		idle, changed := inc.isIdle(), inc.changed
		inc.mu.Unlock()
		if idle {
			return nil
		}
		select {
		case <-changed:
		case <-inc.ended:
			return errEnded
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "tasks still run or have unacknowledged ends")
		}
	}
}

// isIdle reports whether no task is running and all ends are acknowledged. The caller
// must hold mu.
func (inc *incarnation) isIdle() bool {
	for _, t := range inc.tasks {
		if t.state == taskRunning || t.awaitsAck {
			return false
		}
	}
	return true
}

// Close ends the worker as a crash of its process would: it closes the connections, and
// tasks end without a journal entry.
func (w *Worker) Close() {
	w.closeOnce.Do(func() {
		close(w.closed)
		w.cancel()
		w.current().terminate()
		w.server.Close()
		w.wg.Wait()
		w.journal.close()
	})
}
