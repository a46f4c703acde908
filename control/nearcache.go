package control

import "sync"

// maxNearCache bounds a nearCache. A flood of one misspelling needs one entry.
const maxNearCache = 1024

// nearCache remembers the nearest names of misspellings: the search takes up to 0.2 ms
// with 1,000 routes, which thousands of requests a second cannot afford.
type nearCache struct {
	mu   sync.RWMutex
	near map[string]string // guarded by mu
}

// get returns the remembered answer or the one of find.
func (c *nearCache) get(name string, find func(string) string) string {
	c.mu.RLock()
	near, ok := c.near[name]
	c.mu.RUnlock()
	if ok {
		return near
	}
	near = find(name)
	if len(name) > maxNearestBytes {
		return near
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.near == nil {
		c.near = make(map[string]string)
	}
	if len(c.near) < maxNearCache {
		c.near[name] = near
	}
	return near
}
