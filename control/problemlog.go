package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

const (
	// defaultProblemLogLimit limits the entries of each of the three sources in a
	// ProblemLog. After a change of the tables the nearest name of each entry is searched
	// again, which takes up to 0.2 ms per entry with 1,000 routes.
	defaultProblemLogLimit = 200
	// maxWorkersPerUnknownPool limits the workers that are tracked for an unknown pool. The
	// system is designed for 6,600 workers.
	maxWorkersPerUnknownPool = 10000
	// maxCallersPerUnknownKind limits the callers that are listed for an unknown kind.
	maxCallersPerUnknownKind = 10
	// unknownKindExpiry is how long an unknown kind stays listed after it was last sent. A
	// caller that has corrected the spelling can be detected only by the absence of
	// further requests with that kind.
	unknownKindExpiry = time.Hour
	// unknownPoolExpiry is how long an unknown pool stays listed after it was last
	// announced. A worker without an owner announces its pool every second, so a worker
	// that has not announced for 10 s is gone.
	unknownPoolExpiry = 10 * time.Second
)

// problemKey identifies a problem across its occurrences. It omits the message,
// because messages contain numbers that change. The ordinal distinguishes problems of the
// tables with the same kind and subject, such as the quotas of two teams in one pool.
type problemKey struct {
	kind, subject string
	ordinal       int
}

// problemEntry is a problem with the time at which it was last seen, in Unix
// milliseconds.
type problemEntry struct {
	problem       api.Problem
	lastSeen      int64
	lastAnnounced map[string]int64 // time of the last announcement by worker; set only for unknown pools
}

// ProblemLog collects the configuration problems that one VM observes at run time. Its
// content is neither stored nor replicated. It may be used by only one goroutine at a
// time. All times are wall-clock times in Unix milliseconds.
type ProblemLog struct {
	limit         int    // maximum length of each map
	tablesVersion uint64 // version of the tables for which the nearest names were searched
	unknownKinds  map[problemKey]*problemEntry
	unknownPools  map[problemKey]*problemEntry
	tableProblems map[problemKey]*problemEntry
}

// NewProblemLog returns an empty log that keeps at most limit unknown kinds, limit unknown
// pools and limit problems of the tables. A limit of 0 or less means the default of 200.
func NewProblemLog(limit int) *ProblemLog {
	if limit <= 0 {
		limit = defaultProblemLogLimit
	}
	return &ProblemLog{
		limit:         limit,
		unknownKinds:  make(map[problemKey]*problemEntry),
		unknownPools:  make(map[problemKey]*problemEntry),
		tableProblems: make(map[problemKey]*problemEntry),
	}
}

// RecordUnknownKind records that caller sent a kind that no route serves.
func (l *ProblemLog) RecordUnknownKind(now int64, kind, caller string, r *Resolver) {
	kind, caller = truncate(kind, maxNameBytes), truncate(caller, maxNameBytes)
	key := problemKey{kind: ProblemUnknownKind, subject: kind}
	e := l.unknownKinds[key]
	if e == nil {
		e = l.addEntry(l.unknownKinds, key, now, newUnknownKindProblem(kind, r.NearestRoute(kind)))
	}
	e.recordOccurrence(now)
	callers := &e.problem.Callers
	if i, known := slices.BinarySearch(*callers, caller); !known && len(*callers) < maxCallersPerUnknownKind {
		*callers = slices.Insert(*callers, i, caller)
	}
}

// RecordUnknownPool records that worker announced a pool that does not exist.
func (l *ProblemLog) RecordUnknownPool(now int64, worker, pool string, r *Resolver) {
	pool = truncate(pool, maxNameBytes)
	key := problemKey{kind: ProblemWorkerWithoutPool, subject: pool}
	e := l.unknownPools[key]
	if e == nil {
		e = l.addEntry(l.unknownPools, key, now, api.Problem{})
		e.lastAnnounced = make(map[string]int64)
	}
	_, known := e.lastAnnounced[worker]
	if known || len(e.lastAnnounced) < maxWorkersPerUnknownPool {
		e.lastAnnounced[worker] = now
	}
	if !known {
		e.updateUnknownPool(pool, r)
	}
	e.recordOccurrence(now)
}

// SetTableProblems replaces the problems of the tables in force, which Check returns. A
// problem that was listed before keeps its count and the time at which it was first seen.
func (l *ProblemLog) SetTableProblems(now int64, problems []api.Problem) {
	before := l.tableProblems
	l.tableProblems = make(map[problemKey]*problemEntry)
	seen := make(map[problemKey]int)
	for _, p := range cloneProblems(problems) {
		key := problemKey{kind: p.Kind, subject: p.Subject}
		seen[key]++
		key.ordinal = seen[key] - 1
		if len(l.tableProblems) >= l.limit {
			break
		}
		e := &problemEntry{problem: p}
		e.problem.FirstSeenUnixMillis, e.problem.Count = now, 0
		if old := before[key]; old != nil {
			e.problem.FirstSeenUnixMillis, e.problem.Count = old.problem.FirstSeenUnixMillis, old.problem.Count
		}
		e.recordOccurrence(now)
		l.tableProblems[key] = e
	}
}

// Refresh removes unknown kinds that a route now serves, unknown pools that now exist, and
// entries that have expired. It also updates the nearest names after a change of the
// tables. It should be called after each change of the tables and about once per second.
func (l *ProblemLog) Refresh(now int64, r *Resolver) {
	tablesChanged := l.tablesVersion != r.Version()
	l.tablesVersion = r.Version()
	l.refreshUnknownKinds(now, r, tablesChanged)
	l.refreshUnknownPools(now, r, tablesChanged)
}

// refreshUnknownKinds implements Refresh for unknown kinds.
func (l *ProblemLog) refreshUnknownKinds(now int64, r *Resolver, tablesChanged bool) {
	for key, e := range l.unknownKinds {
		if r.serves(key.subject) || now-e.lastSeen > unknownKindExpiry.Milliseconds() {
			delete(l.unknownKinds, key)
		} else if tablesChanged {
			e.replaceProblem(newUnknownKindProblem(key.subject, r.NearestRoute(key.subject)))
		}
	}
}

// refreshUnknownPools implements Refresh for unknown pools.
func (l *ProblemLog) refreshUnknownPools(now int64, r *Resolver, tablesChanged bool) {
	for key, e := range l.unknownPools {
		workersBefore := len(e.lastAnnounced)
		maps.DeleteFunc(e.lastAnnounced, func(_ string, seen int64) bool { return now-seen > unknownPoolExpiry.Milliseconds() })
		if _, exists := r.Pool(key.subject); exists || len(e.lastAnnounced) == 0 {
			delete(l.unknownPools, key)
		} else if tablesChanged || len(e.lastAnnounced) != workersBefore {
			e.updateUnknownPool(key.subject, r)
		}
	}
}

// RemoveWorker removes a worker from the unknown pools. It should be called when the
// worker announces another pool or leaves.
func (l *ProblemLog) RemoveWorker(worker string, r *Resolver) {
	for key, e := range l.unknownPools {
		if _, ok := e.lastAnnounced[worker]; !ok {
			continue
		}
		delete(e.lastAnnounced, worker)
		if len(e.lastAnnounced) == 0 {
			delete(l.unknownPools, key)
			continue
		}
		e.updateUnknownPool(key.subject, r)
	}
}

// List returns all problems, sorted by the time at which they were first seen, newest
// first. The caller owns the list.
func (l *ProblemLog) List() []api.Problem {
	var out []api.Problem
	for _, entries := range []map[problemKey]*problemEntry{l.unknownKinds, l.unknownPools, l.tableProblems} {
		for key, e := range entries {
			if l.unknownPools[key] != nil && l.unknownPools[key] != e {
				continue // Check reported a pool that is listed from announcements already
			}
			out = append(out, e.problem)
		}
	}
	out = cloneProblems(out)
	sortNewestFirst(out)
	return out
}

func sortNewestFirst(list []api.Problem) {
	slices.SortFunc(list, func(a, b api.Problem) int {
		return cmp.Or(cmp.Compare(b.FirstSeenUnixMillis, a.FirstSeenUnixMillis), cmp.Compare(a.Kind, b.Kind),
			cmp.Compare(a.Subject, b.Subject), strings.Compare(a.Message, b.Message))
	})
}

// addEntry adds an entry. If the map is full, it first evicts the entry with the lowest
// count, or of several such entries the least recently seen. A stream of random names
// therefore cannot evict a misspelling that many callers send.
func (l *ProblemLog) addEntry(entries map[problemKey]*problemEntry, key problemKey, now int64, p api.Problem) *problemEntry {
	if len(entries) >= l.limit {
		delete(entries, leastFrequent(entries))
	}
	p.FirstSeenUnixMillis = now
	e := &problemEntry{problem: p}
	entries[key] = e
	return e
}

// leastFrequent returns the key of the entry with the lowest count. Ties are resolved by the
// time at which an entry was last seen, then by subject.
func leastFrequent(entries map[problemKey]*problemEntry) problemKey {
	var leastKey problemKey
	var leastEntry *problemEntry
	for key, e := range entries {
		if leastEntry == nil || cmp.Or(cmp.Compare(e.problem.Count, leastEntry.problem.Count), cmp.Compare(e.lastSeen, leastEntry.lastSeen),
			cmp.Compare(key.subject, leastKey.subject)) < 0 {
			leastKey, leastEntry = key, e
		}
	}
	return leastKey
}

// recordOccurrence updates the count and the time at which the problem was last seen.
func (e *problemEntry) recordOccurrence(now int64) {
	e.lastSeen = now
	e.problem.Count++
}

// replaceProblem replaces the texts and keeps the count, the callers and the time at which
// the problem was first seen.
func (e *problemEntry) replaceProblem(p api.Problem) {
	p.FirstSeenUnixMillis, p.Count, p.Callers = e.problem.FirstSeenUnixMillis, e.problem.Count, e.problem.Callers
	e.problem = p
}

// updateUnknownPool rewrites the problem for the current workers and tables.
func (e *problemEntry) updateUnknownPool(pool string, r *Resolver) {
	first := slices.Min(slices.Collect(maps.Keys(e.lastAnnounced)))
	e.replaceProblem(newUnknownPoolProblem(WorkerInfo{Worker: first, Pool: pool, Count: len(e.lastAnnounced)}, r.NearestPool(pool)))
}

func newUnknownKindProblem(kind, near string) api.Problem {
	remedy := "\"oleanderchute routes\" lists the kinds that exist"
	if near != "" {
		remedy = fmt.Sprintf("tell the callers to send kind %q, or write \"aliases: [%s]\" in route %q", near, kind, near)
	}
	return newWarningProblem(ProblemUnknownKind, kind, near, fmt.Sprintf("callers send kind %q, which no route serves", kind), remedy)
}
