package storage

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"io/fs"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/pkg/errors"
)

const (
	identityFile     = "identity.json"
	identityLockFile = "identity.lock"
	folderLockFile   = "folder.lock"
	incarnationBytes = 6
	nodeIDSeparator  = "#"
)

// identity is the content of the identity file.
type identity struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Checksum is the xxhash64 of "VM#Incarnation".
	Checksum uint64 `json:"sum,string"`
}

// nodeID returns "VM#Incarnation".
func (id identity) nodeID() raft.NodeID {
	return raft.NodeID(id.VM + nodeIDSeparator + id.Incarnation)
}

// LoadIdentity returns the identity of the VM. On the first start it creates the folder
// and a random incarnation. The identity is durable when LoadIdentity returns. It returns
// ErrWrongVM if the folder belongs to another VM, *CorruptError if the identity is
// unreadable or is missing although group data exists, ErrLocked, and *DiskError.
func LoadIdentity(dir, vm string) (raft.NodeID, error) { return loadIdentity(OS{}, dir, vm, "") }

// LoadIdentityWithIncarnation is LoadIdentity with the incarnation to use on the first
// start; an empty incarnation means a random one. An incarnation must not be used again
// after the data folder was lost.
func LoadIdentityWithIncarnation(dir, vm, incarnation string) (raft.NodeID, error) {
	return loadIdentity(OS{}, dir, vm, incarnation)
}

// LockFolder creates the folder if necessary and locks it until the result is closed or
// this process ends. It returns ErrLocked if the lock is already held.
func LockFolder(dir string) (io.Closer, error) {
	if err := mkdirAllSynced(OS{}, dir); err != nil {
		return nil, err
	}
	return acquireLock(OS{}, filepath.Join(dir, folderLockFile))
}

// EphemeralIdentity returns an identity with a new random incarnation, for a VM without a
// disk. Each call returns a different one.
func EphemeralIdentity(vm string) (raft.NodeID, error) {
	id, err := newIdentity(vm)
	return id.nodeID(), err
}

// newIdentity returns an identity with a random incarnation.
func newIdentity(vm string) (identity, error) {
	if vm == "" || strings.Contains(vm, nodeIDSeparator) {
		return identity{}, errors.Wrapf(ErrInvalid, "VM name %q is empty or contains #", vm)
	}
	b := make([]byte, incarnationBytes)
	if _, err := rand.Read(b); err != nil {
		return identity{}, errors.Wrap(err, "generate incarnation")
	}
	id := identity{VM: vm, Incarnation: hex.EncodeToString(b)}
	id.Checksum = xxhash.Sum64String(string(id.nodeID()))
	return id, nil
}

func loadIdentity(fsys FS, dir, vm, incarnation string) (raft.NodeID, error) {
	if err := mkdirAllSynced(fsys, dir); err != nil {
		return "", err
	}
	lock, err := acquireLock(fsys, filepath.Join(dir, identityLockFile))
	if err != nil {
		return "", err
	}
	defer lock.Close()
	path := filepath.Join(dir, identityFile)
	raw, err := fsys.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return createIdentity(fsys, path, vm, incarnation)
	}
	if err != nil {
		return "", wrapDiskError(opRead, path, err)
	}
	return checkIdentity(path, raw, vm)
}

// checkIdentity decodes the identity file and verifies its checksum and VM.
func checkIdentity(path string, raw []byte, vm string) (raft.NodeID, error) {
	var id identity
	if err := json.Unmarshal(raw, &id); err != nil {
		return "", &CorruptError{File: path, Reason: err.Error()}
	}
	if id.Checksum != xxhash.Sum64String(string(id.nodeID())) {
		return "", &CorruptError{File: path, Reason: "checksum mismatch"}
	}
	if id.VM != vm {
		return "", errors.Wrapf(ErrWrongVM, "%s: VM %q, want %q", path, id.VM, vm)
	}
	return id.nodeID(), nil
}

// createIdentity creates the identity file. It refuses a folder that contains group data,
// because a new identity with an old log would hide that votes were cast and entries
// acknowledged under the previous identity.
func createIdentity(fsys FS, path, vm, incarnation string) (raft.NodeID, error) {
	names, err := fsys.ReadDir(filepath.Dir(path))
	if err != nil {
		return "", wrapDiskError(opRead, filepath.Dir(path), err)
	}
	for _, n := range names {
		if strings.HasPrefix(n, groupPrefix) {
			return "", &CorruptError{File: path, Reason: "identity file is missing, but group data exists: " + n}
		}
	}
	id, err := newIdentity(vm)
	if err != nil {
		return "", err
	}
	if incarnation != "" {
		id.Incarnation = incarnation
		id.Checksum = xxhash.Sum64String(string(id.nodeID()))
	}
	raw, err := json.Marshal(id)
	if err != nil {
		return "", errors.Wrap(err, "encode identity")
	}
	f, err := writeFile(fsys, path, raw)
	if err != nil {
		return "", err
	}
	f.Close()
	return id.nodeID(), nil
}
