package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
	announcePath     = "/v1/workers/announce"
)

// announcer announces the worker to the entry VMs. It must be used by one goroutine
// only.
type announcer struct {
	w         *Worker
	client    http.Client
	nextEntry int // index, modulo the number of entries, of the entry to try first
}

// run announces the worker until ctx ends: on each request, and every announceInterval
// unless a sync has arrived within the last second.
func (a *announcer) run(ctx context.Context, requested <-chan struct{}) {
	defer a.client.CloseIdleConnections()
	ticker := time.NewTicker(a.w.cfg.announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-requested:
		case <-ticker.C:
			if a.w.current().syncedWithin(announceInterval) {
				continue
			}
		}
		a.announce(ctx)
	}
}

// announce tries each entry once, in rotation, until one accepts the announcement.
func (a *announcer) announce(ctx context.Context) {
	if a.w.faults.get().Freeze {
		return
	}
	body, err := json.Marshal(a.w.announcement())
	if err != nil {
		a.w.cfg.Log.Error("encode announcement", zap.Error(err))
		return
	}
	for range a.w.cfg.Entries {
		entry := a.w.cfg.Entries[a.nextEntry%len(a.w.cfg.Entries)]
		a.nextEntry++
		err := a.post(ctx, entry, body)
		if err == nil || ctx.Err() != nil {
			return
		}
		a.w.cfg.Log.Info("announcement failed", zap.String("entry", entry), zap.Error(err))
	}
}

func (a *announcer) post(ctx context.Context, entry string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+announcePath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create announcement request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("entry VM responded with status %s", resp.Status)
	}
	return nil
}

// syncedWithin reports whether a sync was accepted within the last d.
func (inc *incarnation) syncedWithin(d time.Duration) bool {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	return inc.lastSyncToken > 0 && inc.token()-inc.lastSyncToken < d.Milliseconds()
}

// announcement returns the announcement of the current incarnation.
func (w *Worker) announcement() api.Announcement {
	inc := w.current()
	inc.mu.Lock()
	defer inc.mu.Unlock()
	c := w.cfg
	return api.Announcement{
		Worker: c.Worker, Incarnation: inc.id, URL: w.url, Pool: c.Pool, Rack: c.Rack,
		FailureDomain: c.FailureDomain, Region: c.Region, Capacity: c.Capacity,
		Slots: c.Slots, Connections: c.Connections, Leaving: inc.leaving,
	}
}
