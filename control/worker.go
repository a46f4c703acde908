package control

import (
	"cmp"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// WorkerInfo is what the checks know of the workers that announce a pool. An entry
// stands for one worker, or for all workers of a pool after SummarizeWorkers.
type WorkerInfo struct {
	// Worker is the worker's name, or one of the names of a summary.
	Worker string `cbor:"1,keyasint,omitempty"`
	Pool   string `cbor:"2,keyasint"`
	// Capacity is the sum over the workers that the entry stands for.
	Capacity api.Resources `cbor:"3,keyasint"`
	// Count is how many workers the entry stands for; 0 means 1.
	Count int `cbor:"4,keyasint,omitempty"`
}

func (w WorkerInfo) count() int { return max(w.Count, 1) }

// SummarizeWorkers returns one entry a pool, sorted by pool, named after the first
// worker by name. A command carries the summary, because 6,600 entries would take most
// of its bytes. A nil list stays nil, which means that the workers are not known.
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
		s.Pool, s.Count, s.Capacity = w.Pool, s.Count+w.count(), s.Capacity.Add(w.Capacity)
		pools[w.Pool] = s
	}
	out := make([]WorkerInfo, 0, len(pools))
	for _, s := range pools {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b WorkerInfo) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}
