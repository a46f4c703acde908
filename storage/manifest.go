package storage

import (
	"encoding/json"
	"io/fs"
	"path/filepath"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// manifestFile lists the names of the groups that were created in the data folder.
const manifestFile = "groups.json"

// manifestMu serializes changes of the manifest within the process. LockFolder excludes
// other processes.
var manifestMu sync.Mutex

// checkManifest returns ErrGroupRemoved if the group was created in this data folder but
// its own folder no longer exists. Such a group would start empty under an identity that
// has voted and acknowledged entries.
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

// addToManifest adds an existing group to the manifest if it is not listed yet.
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

// readManifest returns the group names in the manifest, none if there is no manifest.
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
