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

// Worker is a running stand-in.
type Worker struct {
	cfg          Config
	url          string
	faults       *faultSwitch
	journal      *journal
	server       *http.Server
	closed       chan struct{}
	announceSoon chan struct{} // asks for an announcement at once
	cancel       context.CancelFunc
	once         sync.Once // guards closed
	wg           sync.WaitGroup
	conns        atomic.Int64 // open connections

	mu  sync.Mutex // guards inc
	inc *incarnation
}

// Start listens, announces and serves until Close or Leave.
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
		closed: make(chan struct{}), announceSoon: make(chan struct{}, 1)}
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
	w.server = &http.Server{Handler: w.handler(), ReadHeaderTimeout: headerTimeout, ConnState: w.countConn}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.wg.Go(func() { w.server.Serve(listener) })
	w.wg.Go(func() { (&announcer{w: w}).run(ctx, w.announceSoon) })
}

func (w *Worker) countConn(_ net.Conn, s http.ConnState) {
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

// Incarnation returns the present incarnation.
func (w *Worker) Incarnation() string { return w.current().id }

// SetFaults replaces all fault switches.
func (w *Worker) SetFaults(f Faults) { w.faults.set(f) }

// Restart ends the present incarnation with all its tasks, as the death of the process
// would, and begins a new one. With memory the journal is read.
func (w *Worker) Restart(memory bool) error {
	next, err := newIncarnation(w.cfg, w.faults, w.journal)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inc != nil {
		if w.inc.hasEnded() {
			return errEnded // closed
		}
		w.inc.terminate()
	}
	if memory {
		events, err := ReadJournal(w.cfg.Journal)
		if err != nil {
			return err
		}
		next.replayJournal(events, time.Now())
	}
	if err := next.boot(); err != nil {
		return err
	}
	w.inc = next
	w.wg.Go(next.writeHeartbeats)
	w.announceNow()
	w.cfg.Log.Info("incarnation starts", zap.String("worker", w.cfg.Worker),
		zap.String("incarnation", next.id), zap.String("url", w.url), zap.Bool("memory", memory))
	return nil
}

func (w *Worker) announceNow() {
	select {
	case w.announceSoon <- struct{}{}:
	default:
	}
}

// Leave announces that the worker leaves, refuses new tasks, waits until the running
// ones have ended and their ends are acknowledged, and closes. If ctx ends first it
// closes at once and returns the context's error.
func (w *Worker) Leave(ctx context.Context) error {
	inc := w.current()
	inc.setLeaving(true)
	a := announcer{w: w}
	a.round(ctx)
	a.client.CloseIdleConnections()
	err := inc.waitIdle(ctx)
	if err == nil {
		// Let the sync that brought the last acknowledgement be answered.
		const lastAnswers = time.Second
		ctx, cancel := context.WithTimeout(ctx, lastAnswers)
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

func (inc *incarnation) waitIdle(ctx context.Context) error {
	for {
		inc.mu.Lock()
		idle, changed := inc.idle(), inc.changed
		inc.mu.Unlock()
		if idle {
			return nil
		}
		select {
		case <-changed:
		case <-inc.ended:
			return errEnded
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "tasks or ends remain")
		}
	}
}

// idle must be called with mu held.
func (inc *incarnation) idle() bool {
	for _, t := range inc.tasks {
		if t.state == taskRunning || t.reported {
			return false
		}
	}
	return true
}

// Close ends the worker as the death of its process would: tasks end without a trace
// in the journal and connections are closed.
func (w *Worker) Close() {
	w.once.Do(func() {
		close(w.closed)
		w.cancel()
		w.current().terminate()
		w.server.Close()
		w.wg.Wait()
		w.journal.close()
	})
}
