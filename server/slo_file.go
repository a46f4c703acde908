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
func (k *sloRecorder) load(objectives []slo.Objective) {
	data, err := k.fs.ReadFile(k.path)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var set *slo.Set
	if err == nil {
		set, err = slo.Decode(objectives, data)
	}
	if err != nil {
		k.changed = true
		k.log.Error("service-level data cannot be used; recording starts anew and the file is replaced", zap.String("file", k.path), zap.Error(err))
		return
	}
	k.set = set
	k.set.DropAfter(k.started.Add(maxClockSkew))
}

// run saves the data until ctx ends, and once more then.
func (k *sloRecorder) run(ctx context.Context) {
	ticker := time.NewTicker(sloSaveInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		k.save(time.Now())
	}
}

// save writes changed data. A failure is logged, and the next call tries again.
func (k *sloRecorder) save(now time.Time) {
	k.mu.Lock()
	k.set.DropAfter(now.Add(maxClockSkew))
	pending := k.changed && k.path != ""
	k.changed = false
	k.mu.Unlock()
	if !pending {
		return
	}
	if err := k.write(k.snapshot()); err != nil {
		k.log.Error("service-level data cannot be saved", zap.String("file", k.path), zap.Error(err))
		k.mu.Lock()
		k.changed = true
		k.mu.Unlock()
	}
}

// write replaces the file; it is durable when write returns without an error.
func (k *sloRecorder) write(snap slo.Snapshot) error {
	data, err := snap.Encode()
	if err != nil {
		return err
	}
	tmp := k.path + ".tmp"
	f, err := k.fs.Create(tmp)
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
		err = k.fs.Rename(tmp, k.path)
	}
	if err == nil {
		err = k.fs.SyncDir(filepath.Dir(k.path))
	}
	return errors.WithStack(err)
}
