package storage

import (
	"encoding/json"
	"io/fs"
	"path/filepath"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

const manifestFile = "groups.json"

// manifestMu serializes changes of manifests within the process; LockFolder keeps other
// processes out.
var manifestMu sync.Mutex

// checkManifest refuses a group that was created in this data folder and whose own
// folder is gone: it would start empty under an identity that has voted and
// acknowledged entries.
func checkManifest(fsys FS, dir, group string, exists bool) error {
	names, err := readManifest(fsys, dir)
	if err != nil {
		return err
	}
	if !exists && slices.Contains(names, group) {
		return errors.Wrapf(ErrGroupRemoved, "%s: group %q; remove the whole data folder, so that the VM joins under a new identity", dir, group)
	}
	return nil
}

// noteGroup adds a group that exists to the manifest.
func addToManifest(fsys FS, dir, group string) error {
	manifestMu.Lock()
	defer manifestMu.Unlock()
	names, err := readManifest(fsys, dir)
	if err != nil || slices.Contains(names, group) {
		return err
	}
	raw, err := json.Marshal(append(names, group))
	if err != nil {
		return errors.Wrap(err, "encode manifest")
	}
	f, err := writeFile(fsys, filepath.Join(dir, manifestFile), raw)
	if err != nil {
		return err
	}
	f.Close()
	return nil
}

func readManifest(fsys FS, dir string) ([]string, error) {
	path := filepath.Join(dir, manifestFile)
	raw, err := fsys.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, wrapDiskError(opRead, path, err)
	}
	var names []string
	if err := json.Unmarshal(raw, &names); err != nil {
		return nil, &CorruptError{File: path, Reason: err.Error()}
	}
	return names, nil
}
