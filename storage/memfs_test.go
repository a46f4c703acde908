package storage

import (
	"io"
	"io/fs"
	"path/filepath"
	"sort"
	"strings"
	"sync"
)

// memFS is a file system in memory that knows what a crash may lose: file content
// after the last Sync and folder changes after the last SyncDir.
type memFS struct {
	mu    sync.Mutex
	root  *memNode
	locks map[string]bool
	syncs int // File.Sync and SyncDir calls
	// fault, if set, is asked before each operation and may make it fail.
	fault func(op, path string) error
}

type memNode struct {
	dir          bool
	now, durable map[string]*memNode // children of a folder
	data         []byte
	synced       []byte
}

func newDirNode() *memNode {
	return &memNode{dir: true, now: map[string]*memNode{}, durable: map[string]*memNode{}}
}

func newMemFS() *memFS { return &memFS{root: newDirNode(), locks: map[string]bool{}} }

func (m *memFS) enter(op, path string) (func(), error) {
	m.mu.Lock()
	if m.fault != nil {
		if err := m.fault(op, path); err != nil {
			m.mu.Unlock()
			return nil, err
		}
	}
	return m.mu.Unlock, nil
}

func (m *memFS) walk(path string) *memNode {
	n := m.root
	for _, part := range strings.Split(strings.Trim(path, "/"), "/") {
		if part != "" && n != nil {
			n = n.now[part]
		}
	}
	return n
}

func (m *memFS) parent(path string) (*memNode, string) {
	return m.walk(filepath.Dir(path)), filepath.Base(path)
}

func (m *memFS) Create(path string) (File, error) {
	leave, err := m.enter(opOpen, path)
	if err != nil {
		return nil, err
	}
	defer leave()
	p, name := m.parent(path)
	p.now[name] = &memNode{}
	return &memFile{m, p.now[name], path}, nil
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	leave, err := m.enter(opRead, path)
	if err != nil {
		return nil, err
	}
	defer leave()
	n := m.walk(path)
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), n.data...), nil
}

func (m *memFS) ReadDir(path string) ([]string, error) {
	leave, err := m.enter(opRead, path)
	if err != nil {
		return nil, err
	}
	defer leave()
	var names []string
	for n := range m.walk(path).now {
		names = append(names, n)
	}
	sort.Strings(names)
	return names, nil
}

func (m *memFS) Mkdir(path string) error {
	leave, err := m.enter(opMkdir, path)
	if err != nil {
		return err
	}
	defer leave()
	p, name := m.parent(path)
	if p == nil {
		return fs.ErrNotExist
	}
	if p.now[name] != nil || p == m.root && name == "/" {
		return fs.ErrExist
	}
	p.now[name] = newDirNode()
	return nil
}

func (m *memFS) Rename(from, to string) error {
	leave, err := m.enter(opRename, from)
	if err != nil {
		return err
	}
	defer leave()
	p, name := m.parent(from)
	q, target := m.parent(to)
	q.now[target] = p.now[name]
	delete(p.now, name)
	return nil
}

func (m *memFS) Remove(path string) error {
	leave, err := m.enter(opRemove, path)
	if err != nil {
		return err
	}
	defer leave()
	p, name := m.parent(path)
	delete(p.now, name)
	return nil
}

func (m *memFS) RemoveAll(path string) error { return m.Remove(path) }

func (m *memFS) SyncDir(path string) error {
	leave, err := m.enter(opSync, path)
	if err != nil {
		return err
	}
	defer leave()
	m.syncs++
	n := m.walk(path)
	n.durable = map[string]*memNode{}
	for k, v := range n.now {
		n.durable[k] = v
	}
	return nil
}

type memLock struct {
	m    *memFS
	path string
}

func (l memLock) Close() error {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	delete(l.m.locks, l.path)
	return nil
}

func (m *memFS) Lock(path string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locks[path] {
		return nil, ErrLocked
	}
	m.locks[path] = true
	return memLock{m, path}, nil
}

type memFile struct {
	m    *memFS
	n    *memNode
	path string
}

// Write stores half of the data before an injected failure, as a full disk does.
func (f *memFile) Write(p []byte) (int, error) {
	leave, err := f.m.enter(opWrite, f.path)
	if err != nil {
		f.n.data = append(f.n.data, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	defer leave()
	f.n.data = append(f.n.data, p...)
	return len(p), nil
}

func (f *memFile) Sync() error {
	leave, err := f.m.enter(opSync, f.path)
	if err != nil {
		return err
	}
	defer leave()
	f.m.syncs++
	f.n.synced = append([]byte(nil), f.n.data...)
	return nil
}

func (f *memFile) Close() error { return nil }

// crash ends all locks and loses a random part of what was not synced.
func (m *memFS) crash(pick func(n int) int) {
	m.fault, m.locks = nil, map[string]bool{}
	m.root = m.root.crash(pick)
}

func (n *memNode) crash(pick func(n int) int) *memNode {
	if !n.dir {
		data := append([]byte(nil), n.synced...)
		data = append(data, n.data[len(n.synced):len(n.synced)+pick(len(n.data)-len(n.synced))]...)
		// Blocks reach the disk in any order, so there may be a hole of zeros.
		hole := data[len(n.synced):]
		hole = hole[pick(len(hole)):]
		clear(hole[:pick(len(hole))])
		return &memNode{data: data, synced: data}
	}
	out := newDirNode()
	for _, name := range n.names() {
		child := n.durable[name]
		if child != n.now[name] && pick(1) == 1 {
			child = n.now[name]
		}
		if child != nil {
			out.now[name] = child.crash(pick)
			out.durable[name] = out.now[name]
		}
	}
	return out
}

// names returns the sorted names that a folder has or durably had.
func (n *memNode) names() []string {
	var names []string
	for k := range n.now {
		names = append(names, k)
	}
	for k := range n.durable {
		if n.now[k] == nil {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	return names
}
