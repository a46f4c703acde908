package storage

import (
	"io"
	"io/fs"
	"path/filepath"
	"sort"
	"strings"
	"sync"
)

// memFS is a file system in memory that simulates crashes. A crash may lose file content
// written after the last Sync and folder changes made after the last SyncDir.
type memFS struct {
	mu    sync.Mutex
	root  *memNode
	locks map[string]bool
	syncs int // File.Sync and SyncDir calls
	// injectFault, if set, is called before each operation, which fails if it returns an
	// error.
	injectFault func(op, path string) error
}

// memNode is a file or a folder.
type memNode struct {
	isDir            bool
	current, durable map[string]*memNode // children of a folder, now and at the last SyncDir
	data             []byte              // content of a file
	synced           []byte              // content at the last Sync
}

func newDirNode() *memNode {
	return &memNode{isDir: true, current: map[string]*memNode{}, durable: map[string]*memNode{}}
}

func newMemFS() *memFS { return &memFS{root: newDirNode(), locks: map[string]bool{}} }

// begin locks the file system for an operation, or returns the injected fault. The caller
// calls the returned function to unlock it.
func (m *memFS) begin(op, path string) (func(), error) {
	m.mu.Lock()
	if m.injectFault != nil {
		if err := m.injectFault(op, path); err != nil {
			m.mu.Unlock()
			return nil, err
		}
	}
	return m.mu.Unlock, nil
}

// lookup returns the node at path, or nil.
func (m *memFS) lookup(path string) *memNode {
	n := m.root
	for _, part := range strings.Split(strings.Trim(path, "/"), "/") {
		if part != "" && n != nil {
			n = n.current[part]
		}
	}
	return n
}

// parent returns the folder that contains path, and the name of path in it.
func (m *memFS) parent(path string) (*memNode, string) {
	return m.lookup(filepath.Dir(path)), filepath.Base(path)
}

func (m *memFS) Create(path string) (File, error) {
	end, err := m.begin(opOpen, path)
	if err != nil {
		return nil, err
	}
	defer end()
	p, name := m.parent(path)
	p.current[name] = &memNode{}
	return &memFile{m, p.current[name], path}, nil
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	end, err := m.begin(opRead, path)
	if err != nil {
		return nil, err
	}
	defer end()
	n := m.lookup(path)
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), n.data...), nil
}

func (m *memFS) ReadDir(path string) ([]string, error) {
	end, err := m.begin(opRead, path)
	if err != nil {
		return nil, err
	}
	defer end()
	var names []string
	for n := range m.lookup(path).current {
		names = append(names, n)
	}
	sort.Strings(names)
	return names, nil
}

func (m *memFS) Mkdir(path string) error {
	end, err := m.begin(opMkdir, path)
	if err != nil {
		return err
	}
	defer end()
	p, name := m.parent(path)
	if p == nil {
		return fs.ErrNotExist
	}
	if p.current[name] != nil || p == m.root && name == "/" {
		return fs.ErrExist
	}
	p.current[name] = newDirNode()
	return nil
}

func (m *memFS) Rename(from, to string) error {
	end, err := m.begin(opRename, from)
	if err != nil {
		return err
	}
	defer end()
	p, name := m.parent(from)
	q, target := m.parent(to)
	q.current[target] = p.current[name]
	delete(p.current, name)
	return nil
}

func (m *memFS) Remove(path string) error {
	end, err := m.begin(opRemove, path)
	if err != nil {
		return err
	}
	defer end()
	p, name := m.parent(path)
	delete(p.current, name)
	return nil
}

func (m *memFS) RemoveAll(path string) error { return m.Remove(path) }

func (m *memFS) SyncDir(path string) error {
	end, err := m.begin(opSync, path)
	if err != nil {
		return err
	}
	defer end()
	m.syncs++
	n := m.lookup(path)
	n.durable = map[string]*memNode{}
	for k, v := range n.current {
		n.durable[k] = v
	}
	return nil
}

type memLock struct {
	fsys *memFS
	path string
}

func (l memLock) Close() error {
	l.fsys.mu.Lock()
	defer l.fsys.mu.Unlock()
	delete(l.fsys.locks, l.path)
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
	fsys *memFS
	node *memNode
	path string
}

// Write stores half of the data before an injected fault, as a full disk does.
func (f *memFile) Write(p []byte) (int, error) {
	end, err := f.fsys.begin(opWrite, f.path)
	if err != nil {
		f.node.data = append(f.node.data, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	defer end()
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

func (f *memFile) Sync() error {
	end, err := f.fsys.begin(opSync, f.path)
	if err != nil {
		return err
	}
	defer end()
	f.fsys.syncs++
	f.node.synced = append([]byte(nil), f.node.data...)
	return nil
}

func (f *memFile) Truncate(size int64) error {
	end, err := f.fsys.begin(opTruncate, f.path)
	if err != nil {
		return err
	}
	defer end()
	f.node.data = f.node.data[:size:size]
	return nil
}

func (f *memFile) Close() error { return nil }

// crash releases all locks and loses part of what was not synced. pick returns a number
// from 0 to n and so decides which part.
func (m *memFS) crash(pick func(n int) int) {
	m.injectFault, m.locks = nil, map[string]bool{}
	m.root = m.root.crash(pick)
}

// crash returns what is left of the node after a crash.
func (n *memNode) crash(pick func(n int) int) *memNode {
	if !n.isDir {
		if len(n.data) < len(n.synced) && pick(1) == 1 {
			n.synced = n.data // a truncation without a sync may have reached the disk
		}
		data := append([]byte(nil), n.synced...)
		if len(n.data) > len(n.synced) {
			data = append(data, n.data[len(n.synced):len(n.synced)+pick(len(n.data)-len(n.synced))]...)
		}
		// Blocks reach the disk in any order, so a range may still be zeros.
		hole := data[len(n.synced):]
		hole = hole[pick(len(hole)):]
		clear(hole[:pick(len(hole))])
		return &memNode{data: data, synced: data}
	}
	out := newDirNode()
	for _, name := range n.names() {
		child := n.durable[name]
		if child != n.current[name] && pick(1) == 1 {
			child = n.current[name]
		}
		if child != nil {
			out.current[name] = child.crash(pick)
			out.durable[name] = out.current[name]
		}
	}
	return out
}

// names returns the sorted names of the current and the durable children.
func (n *memNode) names() []string {
	var names []string
	for k := range n.current {
		names = append(names, k)
	}
	for k := range n.durable {
		if n.current[k] == nil {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	return names
}
