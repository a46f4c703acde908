package placement

// index finds workers with enough free capacity. It is a binary tree over the workers of
// one pool and region. Each inner node stores the elementwise maximum of the offered
// capacity below it, so that a search skips subtrees in which the demand cannot fit. An
// update costs O(log n). The Scheduler owns it.
type index struct {
	size int // number of leaves, a power of two
	// nodes holds the offered capacity: the root is node 1, the children of node i are 2i
	// and 2i+1, and the leaves start at node size.
	nodes        []vector
	workers      []*worker // by leaf; nil if unused
	unusedLeaves []int
	count        int // number of workers
}

func newIndex() *index {
	x := &index{}
	x.resize(8)
	return x
}

// resize rebuilds the tree with the given number of leaves.
func (x *index) resize(size int) {
	old := x.workers
	x.size, x.nodes, x.workers = size, make([]vector, 2*size), make([]*worker, size)
	copy(x.workers, old)
	for i := range x.nodes {
		x.nodes[i] = allMinusOne
	}
	x.unusedLeaves = x.unusedLeaves[:0]
	for i := size - 1; i >= len(old); i-- {
		x.unusedLeaves = append(x.unusedLeaves, i)
	}
	for leaf, w := range old {
		if w != nil {
			x.set(leaf, w.offeredCapacity())
		}
	}
}

// insert adds w and returns its leaf.
func (x *index) insert(w *worker) int {
	if len(x.unusedLeaves) == 0 {
		x.resize(2 * x.size)
	}
	leaf := x.unusedLeaves[len(x.unusedLeaves)-1]
	x.unusedLeaves = x.unusedLeaves[:len(x.unusedLeaves)-1]
	x.workers[leaf] = w
	x.count++
	return leaf
}

// remove frees the leaf.
func (x *index) remove(leaf int) {
	x.set(leaf, allMinusOne)
	x.workers[leaf] = nil
	x.unusedLeaves = append(x.unusedLeaves, leaf)
	x.count--
}

// set records the capacity that the worker at leaf offers.
func (x *index) set(leaf int, offered vector) {
	i := leaf + x.size
	x.nodes[i] = offered
	for i >>= 1; i >= 1; i >>= 1 {
		top := x.nodes[2*i]
		top.setMax(x.nodes[2*i+1])
		if x.nodes[i] == top {
			return
		}
		x.nodes[i] = top
	}
}

// search collects workers whose offered capacity covers demand.
type search struct {
	x      *index
	demand vector
	budget int // nodes that may still be visited
	want   int // workers that may still be found
	found  []*worker
}

// collect appends the workers of the fitting leaves in [start, end) to found, in order,
// until want or budget is exhausted.
func (q *search) collect(start, end int) { q.visit(1, 0, q.x.size, start, end) }

// visit searches the subtree of node, which covers the leaves in [low, high).
func (q *search) visit(node, low, high, start, end int) {
	if q.want <= 0 || q.budget <= 0 || high <= start || low >= end {
		return
	}
	q.budget--
	if !q.demand.fitsIn(&q.x.nodes[node]) {
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
