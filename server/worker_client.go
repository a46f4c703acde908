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

// Timeouts of calls to workers. A call on an unresponsive connection fails by its timeout and
// the connection is closed, so that the next call opens a new one. callTimeout also limits
// short calls between VMs.
const (
	callTimeout = time.Second
	syncTimeout = 1500 * time.Millisecond
)

// maxConnectionsPerWorker limits the connections from this VM to one worker. It is far below
// the 64 that a worker allows, since only the owner calls a worker.
const maxConnectionsPerWorker = 16

// maxWorkerResponseBytes limits the size of a worker's response. It fits base64-encoded answers
// of up to 1 MiB each for all slots of a worker.
const maxWorkerResponseBytes = 16 * api.MaxBodyBytes

// maxHTTPClients limits the cached HTTP clients. It exceeds the 6,600 workers of the largest
// fleet, so that workers that restart with new addresses do not evict clients in use.
const maxHTTPClients = 16384

// workerClient makes the HTTP calls to workers and posts the responses as events to the
// partitions. It is safe for concurrent use.
type workerClient struct {
	eventLoop   *replica.EventLoop
	httpClients *lru.Cache[string, *http.Client] // by base URL of the worker
	bytes       *byteCounter
}

func newWorkerClient(l *replica.EventLoop) *workerClient {
	clients, err := lru.NewWithEvict(maxHTTPClients, func(_ string, c *http.Client) { c.CloseIdleConnections() })
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &workerClient{eventLoop: l, httpClients: clients, bytes: &byteCounter{}}
}

// httpClient returns the HTTP client of one worker. Each worker has its own connection pool,
// so that after a failure only the idle connections to that worker are closed.
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

// post sends v as JSON and decodes the response into out. After an error the worker may or may
// not have received the call.
//
// A fault that broke one connection has probably broken the idle ones too, so a failure closes
// the idle connections and the next call opens a new one. Calls in flight end by their timeout.
func (w *workerClient) post(base, path string, timeout time.Duration, v, out any) error {
	client := w.httpClient(base)
	err := doPost(client, base+path, timeout, v, out)
	if err != nil {
		w.httpClients.Remove(base) // closes the idle connections
	}
	return err
}

// doPost makes one POST call with the given client. A status other than 200 is an error.
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
	// With GetBody set, net/http may resend a request after a reused connection was closed.
	// The transport must never resend a dispatch.
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

// postEvent passes an event to the partition unless the replica's epoch has changed since the
// call was made. The owner of a new epoch has no state of that call.
func (w *workerClient) postEvent(r *partitionReplica, epoch uint64, ev partition.Event) {
	w.eventLoop.Post(func() {
		if r.epoch == epoch {
			r.step(w.eventLoop.Now(), ev)
		}
	})
}

// sendSync calls the worker's sync endpoint and posts SyncAnswered or SyncFailed.
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

// sendDispatch sends a task to the worker and posts DispatchAnswered. Its Response is nil if the
// call failed.
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

// sendCommand sends a task command to path on the worker and posts CommandAnswered. Its Response
// is nil if the call failed.
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
