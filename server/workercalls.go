package server

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/partition"
)

// Deadlines of calls to workers. A connection that went silent is found by them and
// closed, so that the next call opens a new one.
const (
	callTimeout = time.Second
	syncTimeout = 1500 * time.Millisecond
)

// connectionsPerWorker bounds the connections from this VM to one worker. Only the
// owner talks to a worker, so this is far below the 64 that a worker allows.
const connectionsPerWorker = 16

// maxWorkerResponse bounds the bytes read from a worker: answers of up to 1 MiB each,
// base64-encoded, for a full set of slots.
const maxWorkerResponse = 16 * api.MaxBodyBytes

// workerCalls makes the HTTP calls to workers and returns the answers as events.
type workerCalls struct {
	loop *loop
	mu   sync.Mutex
	// clients holds one client for each host, so that the connections to one worker
	// are replaced without those to the others. Guarded by mu.
	clients map[string]*http.Client
}

func newWorkerCalls(l *loop) *workerCalls {
	return &workerCalls{loop: l, clients: map[string]*http.Client{}}
}

// client returns the client for a host.
func (w *workerCalls) client(host string) *http.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.clients[host]
	if c == nil {
		c = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
			MaxConnsPerHost:     connectionsPerWorker,
			MaxIdleConnsPerHost: connectionsPerWorker,
			IdleConnTimeout:     30 * time.Second,
		}}
		w.clients[host] = c
	}
	return c
}

// replace makes the next call to a host open a new connection. When one connection has
// gone silent, the idle ones have too, and each would cost a call its whole deadline.
// Calls in flight end on the old connections by their deadline.
func (w *workerCalls) replace(host string, old *http.Client) {
	w.mu.Lock()
	if w.clients[host] == old {
		delete(w.clients, host)
	}
	w.mu.Unlock()
	old.CloseIdleConnections()
}

// post sends v as JSON and decodes the answer into out. An error means that the worker
// may or may not have received the call.
func (w *workerCalls) post(url string, timeout time.Duration, v, out any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	// net/http resends a request without a body read on a reused connection that was
	// closed; a dispatch must never be sent again by the transport.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	c := w.client(req.URL.Host)
	resp, err := c.Do(req)
	if err != nil {
		w.replace(req.URL.Host, c)
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxWorkerResponse))
	if err != nil {
		w.replace(req.URL.Host, c)
		return errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("worker answered %s", resp.Status)
	}
	return errors.WithStack(json.Unmarshal(data, out))
}

// answer hands an event to the partition unless its owner's epoch has changed since the
// call was made: the new epoch's core knows nothing of that call.
func (w *workerCalls) answer(h *hosted, epoch uint64, ev partition.Event) {
	w.loop.post(func() {
		if h.epoch == epoch {
			h.step(w.loop.now(), ev)
		}
	})
}

func (w *workerCalls) sync(h *hosted, a partition.SendSync) {
	epoch := h.epoch
	go func() {
		var resp api.SyncResponse
		if err := w.post(a.URL+"/v1/sync", syncTimeout, a.Request, &resp); err != nil {
			w.answer(h, epoch, partition.SyncFailed{Worker: a.Worker, Sequence: a.Sequence})
			return
		}
		w.answer(h, epoch, partition.Synced{Worker: a.Worker, Sequence: a.Sequence, Response: resp})
	}()
}

func (w *workerCalls) dispatch(h *hosted, a partition.SendDispatch) {
	epoch := h.epoch
	go func() {
		var resp api.DispatchResponse
		err := w.post(a.URL+"/v1/tasks", callTimeout, a.Dispatch, &resp)
		ev := partition.DispatchAnswered{Worker: a.Worker, Task: a.Dispatch.Task}
		if err == nil {
			ev.Response = &resp
		}
		w.answer(h, epoch, ev)
	}()
}

func (w *workerCalls) command(h *hosted, path, worker, url string, c api.TaskCommand, revoke bool) {
	epoch := h.epoch
	go func() {
		var resp api.DispatchResponse
		err := w.post(url+path, callTimeout, c, &resp)
		ev := partition.CommandAnswered{Worker: worker, Task: c.Task, Revoke: revoke}
		if err == nil {
			ev.Response = &resp
		}
		w.answer(h, epoch, ev)
	}()
}
