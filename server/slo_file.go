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

// sloFileName holds the service-level data in the data folder.
const sloFileName = "slo.cbor"

// sloSaveInterval is how often changed data are written. A crash loses at most the
// samples of that time.
const sloSaveInterval = 5 * time.Second

// load reads the file into the still unshared keeper.
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
		r.log.Error("service-level data cannot be used; recording starts anew and the file is replaced", zap.String("file", r.path), zap.Error(err))
		return
	}
	r.set = set
	r.set.DropAfter(r.started.Add(maxClockSkew))
}

// run saves the data until ctx ends, and once more then.
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

// save writes changed data. A failure is logged, and the next call tries again.
func (r *sloRecorder) save(now time.Time) {
	r.mu.Lock()
	r.set.DropAfter(now.Add(maxClockSkew))
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

// write replaces the file; it is durable when write returns without an error.
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
