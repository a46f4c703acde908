package placement

// index finds workers with room. It is a tree over the workers of one pool and region;
// each inner node holds, for each dimension, the largest free amount below it, so that
// a search skips every part of the fleet without room. Update costs O(log n).
// The Scheduler owns it.
type index struct {
	size    int // number of leaves, a power of two
	free    []vector
	workers []*worker // by leaf; nil if unused
	unused  []int
	count   int
}

func newIndex() *index {
	x := &index{}
	x.resize(8)
	return x
}

func (x *index) resize(size int) {
	old := x.workers
	x.size, x.free, x.workers = size, make([]vector, 2*size), make([]*worker, size)
	copy(x.workers, old)
	for i := range x.free {
		x.free[i] = nothing
	}
	x.unused = x.unused[:0]
	for i := size - 1; i >= len(old); i-- {
		x.unused = append(x.unused, i)
	}
	for leaf, w := range old {
		if w != nil {
			x.set(leaf, w.offered())
		}
	}
}

// insert adds w and returns its leaf.
func (x *index) insert(w *worker) int {
	if len(x.unused) == 0 {
		x.resize(2 * x.size)
	}
	leaf := x.unused[len(x.unused)-1]
	x.unused = x.unused[:len(x.unused)-1]
	x.workers[leaf] = w
	x.count++
	return leaf
}

func (x *index) remove(leaf int) {
	x.set(leaf, nothing)
	x.workers[leaf] = nil
	x.unused = append(x.unused, leaf)
	x.count--
}

// set records the amount that the worker at leaf offers.
func (x *index) set(leaf int, offered vector) {
	i := leaf + x.size
	x.free[i] = offered
	for i >>= 1; i >= 1; i >>= 1 {
		top := x.free[2*i]
		top.raise(x.free[2*i+1])
		if x.free[i] == top {
			return
		}
		x.free[i] = top
	}
}

// search walks the leaves that have room for demand.
type search struct {
	x      *index
	demand vector
	budget int // nodes that may still be visited
	want   int // workers that may still be found
	found  []*worker
}

// from collects the fitting leaves in [start, end) in order, until want or budget is
// used up.
func (q *search) from(start, end int) { q.visit(1, 0, q.x.size, start, end) }

func (q *search) visit(node, low, high, start, end int) {
	if q.want <= 0 || q.budget <= 0 || high <= start || low >= end {
		return
	}
	q.budget--
	if !q.demand.fits(&q.x.free[node]) {
		return
	}
	if high-low == 1 {
		q.found = append(q.found, q.x.workers[low])
		q.want--
		return
	}
	middle := (low + high) / 2
	q.visit(2*node, low, middle, start, end)
	q.visit(2*node+1, middle, high, start, end)
}
