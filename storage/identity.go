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
	identityLock     = "identity.lock"
	folderLock       = "folder.lock"
	incarnationBytes = 6
	nodeIDSeparator  = "#"
)

// identity is the content of the identity file. Sum is the xxhash64 of
// "VM#Incarnation".
type identity struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Checksum    uint64 `json:"sum,string"`
}

func (id identity) node() raft.NodeID {
	return raft.NodeID(id.VM + nodeIDSeparator + id.Incarnation)
}

// LoadIdentity returns the identity of the VM, and creates the folder and a random
// incarnation at the first start. The identity is durable when the call returns.
// Errors: ErrWrongVM if the folder belongs to another VM, *CorruptError if the
// identity is unreadable or missing beside group data, ErrLocked, *DiskError.
func LoadIdentity(dir, vm string) (raft.NodeID, error) { return loadIdentity(OS{}, dir, vm, "") }

// LoadIdentityAs is LoadIdentity with the incarnation to use at the first start; an empty
// one means a random one. A given incarnation must belong to one life of the disk only.
func LoadIdentityWithIncarnation(dir, vm, incarnation string) (raft.NodeID, error) {
	return loadIdentity(OS{}, dir, vm, incarnation)
}

// LockFolder keeps other processes out of the folder until the result is closed or
// this process ends. It returns ErrLocked if another holder has it.
func LockFolder(dir string) (io.Closer, error) {
	if err := mkdirSynced(OS{}, dir); err != nil {
		return nil, err
	}
	return takeLock(OS{}, filepath.Join(dir, folderLock))
}

// EphemeralIdentity returns an identity for a VM without a disk, new at each call.
func EphemeralIdentity(vm string) (raft.NodeID, error) {
	id, err := newIdentity(vm)
	return id.node(), err
}

func newIdentity(vm string) (identity, error) {
	if vm == "" || strings.Contains(vm, nodeIDSeparator) {
		return identity{}, errors.Wrapf(ErrInvalid, "VM name %q", vm)
	}
	b := make([]byte, incarnationBytes)
	if _, err := rand.Read(b); err != nil {
		return identity{}, errors.Wrap(err, "random incarnation")
	}
	id := identity{VM: vm, Incarnation: hex.EncodeToString(b)}
	id.Checksum = xxhash.Sum64String(string(id.node()))
	return id, nil
}

func loadIdentity(fsys FS, dir, vm, incarnation string) (raft.NodeID, error) {
	if err := mkdirSynced(fsys, dir); err != nil {
		return "", err
	}
	lock, err := takeLock(fsys, filepath.Join(dir, identityLock))
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
		return "", diskError(opRead, path, err)
	}
	return checkIdentity(path, raw, vm)
}

func checkIdentity(path string, raw []byte, vm string) (raft.NodeID, error) {
	var id identity
	if err := json.Unmarshal(raw, &id); err != nil {
		return "", &CorruptError{File: path, Reason: err.Error()}
	}
	if id.Checksum != xxhash.Sum64String(string(id.node())) {
		return "", &CorruptError{File: path, Reason: "checksum mismatch"}
	}
	if id.VM != vm {
		return "", errors.Wrapf(ErrWrongVM, "%s: VM %q, want %q", path, id.VM, vm)
	}
	return id.node(), nil
}

// createIdentity refuses a folder with group data: a new identity over an old log
// would hide that votes and entries were acknowledged under the former identity.
func createIdentity(fsys FS, path, vm, incarnation string) (raft.NodeID, error) {
	names, err := fsys.ReadDir(filepath.Dir(path))
	if err != nil {
		return "", diskError(opRead, filepath.Dir(path), err)
	}
	for _, n := range names {
		if strings.HasPrefix(n, groupPrefix) {
			return "", &CorruptError{File: path, Reason: "identity is missing beside " + n}
		}
	}
	id, err := newIdentity(vm)
	if err != nil {
		return "", err
	}
	if incarnation != "" {
		id.Incarnation = incarnation
		id.Checksum = xxhash.Sum64String(string(id.node()))
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
	return id.node(), nil
}
