package control

import "github.com/oleanderchute/oleanderchute/api"

// maxCachedResponses is the number of change IDs whose responses are kept. At 9,200
// changes per day the oldest response is about a day old. A change that is resent later
// is based on an old version and is refused, so it cannot take effect twice.
const maxCachedResponses = 10000

// cachedResponse is the original response to the change with the given ID.
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

// get returns the response to the change with the given ID and whether it is cached.
func (c *responseCache) get(id string) (api.ApplyResponse, bool) {
	i, ok := c.indexByID[id]
	if !ok {
		return api.ApplyResponse{}, false
	}
	return cloneResponse(c.ring[i].Response), true
}

// add caches the response to a change whose ID is not cached yet. When the cache is full, it
// replaces the oldest response.
func (c *responseCache) add(id string, r api.ApplyResponse) {
	entry := cachedResponse{ChangeID: id, Response: cloneResponse(r)}
	if len(c.ring) < maxCachedResponses {
		c.indexByID[id] = len(c.ring)
		c.ring = append(c.ring, entry)
		return
	}
	delete(c.indexByID, c.ring[c.oldest].ChangeID)
	c.ring[c.oldest], c.indexByID[id] = entry, c.oldest
	c.oldest = (c.oldest + 1) % maxCachedResponses
}

// oldestFirst returns the responses in the order in which they were added. The result
// shares memory with the cache.
func (c *responseCache) oldestFirst() []cachedResponse {
	out := make([]cachedResponse, 0, len(c.ring))
	out = append(out, c.ring[c.oldest:]...)
	return append(out, c.ring[:c.oldest]...)
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
