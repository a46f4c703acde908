package partition

import (
	"encoding/json"

	"github.com/oleanderchute/oleanderchute/api"
)

// gangTasks returns the number of tasks of the request with the given key: 2 or 3 for a third
// of the keys, otherwise 1.
func gangTasks(k api.RequestKey) int {
	switch k.Key[len(k.Key)-1] {
	case '0', '5':
		return 2
	case '7':
		return 3
	}
	return 1
}

// allTasksStarted reports whether all tasks of the attempt have started.
func (s *simulation) allTasksStarted(id api.TaskID) bool {
	for i := range gangTasks(id.RequestKey) {
		if s.taskStarts[api.TaskID{RequestKey: id.RequestKey, Attempt: id.Attempt, Index: i}] == 0 {
			return false
		}
	}
	return true
}

// expectedAnswer returns the correct answer of a request.
func (s *simulation) expectedAnswer(k api.RequestKey) string {
	one, n := answerFor(k.Key, s.bodies[k]), gangTasks(k)
	if n == 1 {
		return one
	}
	var list [][]byte
	for range n {
		list = append(list, []byte(one))
	}
	data, err := json.Marshal(list) // []byte is encoded as base64
	if err != nil {
		s.fatal("encode: %v", err)
	}
	return string(data)
}

// allDone reports whether all tasks of one attempt of the request have run to completion.
func (s *simulation) allDone(k api.RequestKey) bool {
	n, count := gangTasks(k), map[int]int{}
	for id := range s.done {
		if id.RequestKey == k {
			count[id.Attempt]++
		}
	}
	for _, done := range count {
		if done == n {
			return true
		}
	}
	return false
}

// unresolvableGang reports whether no worker can tell how a gang ended: the process of a lost
// task has ended without a journal entry, or an earlier owner may have dispatched the gang
// without a durable claim, so that the workers of its tasks are not recorded.
func (s *simulation) unresolvableGang(r *record) bool {
	if !r.Spec.NonIdempotent && r.AcceptEpoch != s.epoch {
		return true
	}
	for _, a := range r.Attempts {
		for i, t := range a.Tasks {
			w := s.worker(t.Worker)
			id := api.TaskID{RequestKey: r.Spec.Key, Attempt: a.Number, Index: i}
			if t.End == attemptLost && t.Incarnation != w.incarnation && (!w.journal || w.taskStates[id] != api.DispatchStarted) {
				return true
			}
		}
	}
	return false
}
