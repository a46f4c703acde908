package control

import (
	"cmp"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// WorkerInfo describes a worker that announces a pool, for use by Check. After
// SummarizeWorkers it describes all workers of a pool.
type WorkerInfo struct {
	// Worker is the worker's name. In a summary it is the first of the names.
	Worker string `cbor:"1,keyasint,omitempty"`
	Pool   string `cbor:"2,keyasint"`
	// Capacity is the total capacity of the described workers.
	Capacity api.Resources `cbor:"3,keyasint"`
	// Count is the number of described workers. 0 means 1.
	Count int `cbor:"4,keyasint,omitempty"`
}

// workerCount returns the number of described workers.
func (w WorkerInfo) workerCount() int { return max(w.Count, 1) }

// SummarizeWorkers returns one entry per pool, sorted by pool. Each entry has the name of
// the pool's first worker by name. Commands contain the summary, because 6,600 separate
// entries would make up most of a command's size. For a nil list, which means that the
// workers are unknown, it returns nil.
func SummarizeWorkers(workers []WorkerInfo) []WorkerInfo {
	if workers == nil {
		return nil
	}
	pools := make(map[string]WorkerInfo)
	for _, w := range workers {
		s, ok := pools[w.Pool]
		if !ok || w.Worker < s.Worker {
			s.Worker = w.Worker
		}
		s.Pool, s.Count, s.Capacity = w.Pool, s.Count+w.workerCount(), s.Capacity.Add(w.Capacity)
		pools[w.Pool] = s
	}
	out := make([]WorkerInfo, 0, len(pools))
	for _, s := range pools {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b WorkerInfo) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}
