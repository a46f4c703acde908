package server

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/slo"
)

// sloFileName is the name of the file in the data folder that holds the service-level data.
const sloFileName = "slo.cbor"

// sloSaveInterval is the interval at which changed data are saved. A crash loses the samples of
// at most one interval.
const sloSaveInterval = 5 * time.Second

// load reads the file. It must be called before the recorder is shared.
func (r *sloRecorder) load(objectives []slo.Objective) {
	data, err := r.fs.ReadFile(r.path)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var set *slo.Set
	if err == nil {
		set, err = slo.Decode(objectives, data)
	}
	if err != nil {
		r.changed = true
		r.log.Error("service-level data cannot be used; recording starts without them and the file is replaced", zap.String("file", r.path), zap.Error(err))
		return
	}
	r.samples = set
	r.samples.DropAfter(r.startedAt.Add(maxClockSkew))
}

// run saves changed data every sloSaveInterval until ctx ends, and then once more.
func (r *sloRecorder) run(ctx context.Context) {
	ticker := time.NewTicker(sloSaveInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		r.save(time.Now())
	}
}

// save writes the data if they have changed. A failure is logged, and the next call retries.
func (r *sloRecorder) save(now time.Time) {
	r.mu.Lock()
	r.samples.DropAfter(now.Add(maxClockSkew))
	pending := r.changed && r.path != ""
	r.changed = false
	r.mu.Unlock()
	if !pending {
		return
	}
	if err := r.write(r.snapshot()); err != nil {
		r.log.Error("service-level data cannot be saved", zap.String("file", r.path), zap.Error(err))
		r.mu.Lock()
		r.changed = true
		r.mu.Unlock()
	}
}

// write replaces the file. The new file is durable if write returns no error.
func (r *sloRecorder) write(snap slo.Snapshot) error {
	data, err := snap.Encode()
	if err != nil {
		return err
	}
	tmp := r.path + ".tmp"
	f, err := r.fs.Create(tmp)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = r.fs.Rename(tmp, r.path)
	}
	if err == nil {
		err = r.fs.SyncDir(filepath.Dir(r.path))
	}
	return errors.WithStack(err)
}
