package control

import "github.com/oleanderchute/oleanderchute/api"

// maxCachedResponses is the number of change ids whose responses are kept. At 9,200
// changes per day the oldest response is about a day old. A change that is resent later
// is based on an old version and is refused, so it cannot take effect twice.
const maxCachedResponses = 10000

// cachedResponse is the original response to the change with the given id.
type cachedResponse struct {
	ChangeID string            `cbor:"1,keyasint"`
	Response api.ApplyResponse `cbor:"2,keyasint"`
}

// responseCache holds the responses to the newest changes, so that a change that is sent
// again gets its original response instead of being applied twice. It is part of the
// replicated state. It owns the responses and returns copies.
type responseCache struct {
	ring      []cachedResponse
	oldest    int // index of the oldest response once the ring is full
	indexByID map[string]int
}

func newResponseCache() *responseCache { return &responseCache{indexByID: make(map[string]int)} }

func (l *responseCache) get(id string) (api.ApplyResponse, bool) {
	i, ok := l.indexByID[id]
	if !ok {
		return api.ApplyResponse{}, false
	}
	return cloneResponse(l.ring[i].Response), true
}

func (l *responseCache) add(id string, r api.ApplyResponse) {
	a := cachedResponse{ChangeID: id, Response: cloneResponse(r)}
	if len(l.ring) < maxCachedResponses {
		l.indexByID[id] = len(l.ring)
		l.ring = append(l.ring, a)
		return
	}
	delete(l.indexByID, l.ring[l.oldest].ChangeID)
	l.ring[l.oldest], l.indexByID[id] = a, l.oldest
	l.oldest = (l.oldest + 1) % maxCachedResponses
}

// oldestFirst returns the responses in the order in which they were added. The result
// shares memory with the cache.
func (l *responseCache) oldestFirst() []cachedResponse {
	out := make([]cachedResponse, 0, len(l.ring))
	out = append(out, l.ring[l.oldest:]...)
	return append(out, l.ring[:l.oldest]...)
}

func cloneResponse(r api.ApplyResponse) api.ApplyResponse {
	r.Problems = cloneProblems(r.Problems)
	return r
}

func cloneProblems(list []api.Problem) []api.Problem {
	var out []api.Problem
	for _, p := range list {
		p.Callers = append([]string(nil), p.Callers...)
		out = append(out, p)
	}
	return out
}
