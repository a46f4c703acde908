package server

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/partition"
	"github.com/oleanderchute/oleanderchute/replica"
)

// Deadlines of calls to workers. A connection that went silent is found by them and
// closed, so that the next call opens a new one.
const (
	callTimeout = time.Second
	syncTimeout = 1500 * time.Millisecond
)

// maxConnectionsPerWorker bounds the connections from this VM to one worker. Only the
// owner talks to a worker, so this is far below the 64 that a worker allows.
const maxConnectionsPerWorker = 16

// maxWorkerResponseBytes bounds the bytes read from a worker: answers of up to 1 MiB each,
// base64-encoded, for a full set of slots.
const maxWorkerResponseBytes = 16 * api.MaxBodyBytes

// maxHTTPClients bounds the clients that are kept, above the 6,600 workers of the
// largest fleet so that restarts with new addresses do not evict live ones.
const maxHTTPClients = 16384

// workerClient makes the HTTP calls to workers and returns the answers as events. It is
// safe for concurrent use.
type workerClient struct {
	loop        *replica.EventLoop
	httpClients *lru.Cache[string, *http.Client] // by the worker's base URL
	bytes       *byteCounter
}

func newWorkerClient(l *replica.EventLoop) *workerClient {
	clients, err := lru.NewWithEvict(maxHTTPClients, func(_ string, c *http.Client) { c.CloseIdleConnections() })
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &workerClient{loop: l, httpClients: clients, bytes: &byteCounter{}}
}

// httpClient returns the client of one worker. Each worker has its own connection pool, so
// that a failure can drop all idle connections to it and to nobody else.
func (w *workerClient) httpClient(base string) *http.Client {
	if c, ok := w.httpClients.Get(base); ok {
		return c
	}
	c := &http.Client{Transport: &http.Transport{
		DialContext:         countedDial(w.bytes, (&net.Dialer{Timeout: callTimeout}).DialContext),
		MaxConnsPerHost:     maxConnectionsPerWorker,
		MaxIdleConnsPerHost: maxConnectionsPerWorker,
		IdleConnTimeout:     30 * time.Second,
	}}
	if existing, ok, _ := w.httpClients.PeekOrAdd(base, c); ok {
		return existing
	}
	return c
}

// post sends v as JSON and decodes the answer into out. An error means that the worker
// may or may not have received the call.
//
// Whatever silenced one connection has probably silenced the idle ones too, so after a
// failure the next call starts with an empty pool. Calls in flight end by their deadline.
func (w *workerClient) post(base, path string, timeout time.Duration, v, out any) error {
	client := w.httpClient(base)
	err := doPost(client, base+path, timeout, v, out)
	if err != nil {
		w.httpClients.Remove(base) // closes the idle connections
	}
	return err
}

func doPost(client *http.Client, url string, timeout time.Duration, v, out any) error {
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
	resp, err := client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxWorkerResponseBytes))
	if err != nil {
		return errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("worker answered %s", resp.Status)
	}
	return errors.WithStack(json.Unmarshal(data, out))
}

// postEvent hands an event to the partition unless its owner's epoch has changed since the
// call was made: the new epoch's core knows nothing of that call.
func (w *workerClient) postEvent(r *partitionReplica, epoch uint64, ev partition.Event) {
	w.loop.Post(func() {
		if r.epoch == epoch {
			r.step(w.loop.Now(), ev)
		}
	})
}

func (w *workerClient) sendSync(r *partitionReplica, a partition.SendSync) {
	epoch := r.epoch
	go func() {
		var resp api.SyncResponse
		if err := w.post(a.URL, "/v1/sync", syncTimeout, a.Request, &resp); err != nil {
			w.postEvent(r, epoch, partition.SyncFailed{Worker: a.Worker, Sequence: a.Sequence})
			return
		}
		w.postEvent(r, epoch, partition.SyncAnswered{Worker: a.Worker, Sequence: a.Sequence, Response: resp})
	}()
}

func (w *workerClient) sendDispatch(r *partitionReplica, a partition.SendDispatch) {
	epoch := r.epoch
	go func() {
		var resp api.DispatchResponse
		err := w.post(a.URL, "/v1/tasks", callTimeout, a.Dispatch, &resp)
		ev := partition.DispatchAnswered{Worker: a.Worker, Task: a.Dispatch.Task}
		if err == nil {
			ev.Response = &resp
		}
		w.postEvent(r, epoch, ev)
	}()
}

func (w *workerClient) sendCommand(r *partitionReplica, path, worker, url string, c api.TaskCommand, revoke bool) {
	epoch := r.epoch
	go func() {
		var resp api.DispatchResponse
		err := w.post(url, path, callTimeout, c, &resp)
		ev := partition.CommandAnswered{Worker: worker, Task: c.Task, Revoke: revoke}
		if err == nil {
			ev.Response = &resp
		}
		w.postEvent(r, epoch, ev)
	}()
}
