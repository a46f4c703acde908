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
	// defaultProblemLimit bounds the entries of a ProblemLog of each source. After a change
	// of the tables the nearest name of each entry is searched anew, which takes up to
	// 0.2 ms an entry with 1,000 routes.
	defaultProblemLimit = 200
	// maxProblemWorkers bounds the workers remembered for an unknown pool; there are
	// 6,600 in the size to design for.
	maxProblemWorkers = 10000
	// maxProblemCallers bounds the callers listed with an unknown kind.
	maxProblemCallers = 10
	// kindIdle is how long an unknown kind is listed after it was last sent. The caller
	// may have mended the spelling, which shows only as silence.
	kindIdle = time.Hour
	// poolIdle is how long an unknown pool is listed after it was last announced. A
	// worker without owner announces every second, so 10 s of silence mean that it left.
	poolIdle = 10 * time.Second
)

// problemKey groups sightings of one problem. The message is no part of it, because
// messages hold numbers that change. Ordinal counts problems of the tables with the same
// kind and subject, such as the quotas of two teams in one pool.
type problemKey struct {
	kind, subject string
	ordinal       int
}

// problemEntry is one problem with the time it was last seen, in Unix milliseconds.
type problemEntry struct {
	problem  api.Problem
	lastSeen int64
	workers  map[string]int64 // last announcement by worker; for unknown pools
}

// ProblemLog collects the problems that one VM meets at run time. It is soft state and
// owned by one goroutine. Times are wall-clock times in Unix milliseconds.
type ProblemLog struct {
	limit         int
	tablesVersion uint64 // for which the nearest names were searched
	kinds         map[problemKey]*problemEntry
	pools         map[problemKey]*problemEntry
	tables        map[problemKey]*problemEntry
}

// NewProblemLog returns an empty log that keeps at most limit problems of each source;
// 0 means the default.
func NewProblemLog(limit int) *ProblemLog {
	if limit <= 0 {
		limit = defaultProblemLimit
	}
	return &ProblemLog{
		limit:  limit,
		kinds:  make(map[problemKey]*problemEntry),
		pools:  make(map[problemKey]*problemEntry),
		tables: make(map[problemKey]*problemEntry),
	}
}

// UnknownKind records that caller sent a kind that no route serves.
func (l *ProblemLog) RecordUnknownKind(now int64, kind, caller string, r *Resolver) {
	kind, caller = truncate(kind, maxNameBytes), truncate(caller, maxNameBytes)
	key := problemKey{kind: ProblemUnknownKind, subject: kind}
	e := l.kinds[key]
	if e == nil {
		e = l.add(l.kinds, key, now, unknownKindProblem(kind, r.NearestRoute(kind)))
	}
	e.see(now)
	callers := &e.problem.Callers
	if i, known := slices.BinarySearch(*callers, caller); !known && len(*callers) < maxProblemCallers {
		*callers = slices.Insert(*callers, i, caller)
	}
}

// UnknownPool records that a worker announced a pool that does not exist.
func (l *ProblemLog) RecordUnknownPool(now int64, worker, pool string, r *Resolver) {
	pool = truncate(pool, maxNameBytes)
	key := problemKey{kind: ProblemWorkerWithoutPool, subject: pool}
	e := l.pools[key]
	if e == nil {
		e = l.add(l.pools, key, now, api.Problem{})
		e.workers = make(map[string]int64)
	}
	_, known := e.workers[worker]
	if known || len(e.workers) < maxProblemWorkers {
		e.workers[worker] = now
	}
	if !known {
		e.describePool(pool, r)
	}
	e.see(now)
}

// SetTables replaces the problems of the tables in force, as Check returns them. A
// problem that stays keeps the time it was first seen.
func (l *ProblemLog) SetTableProblems(now int64, problems []api.Problem) {
	before := l.tables
	l.tables = make(map[problemKey]*problemEntry)
	seen := make(map[problemKey]int)
	for _, p := range cloneProblems(problems) {
		key := problemKey{kind: p.Kind, subject: p.Subject}
		seen[key]++
		key.ordinal = seen[key] - 1
		if len(l.tables) >= l.limit {
			break
		}
		e := &problemEntry{problem: p}
		e.problem.FirstSeenUnixMillis, e.problem.Count = now, 0
		if old := before[key]; old != nil {
			e.problem.FirstSeenUnixMillis, e.problem.Count = old.problem.FirstSeenUnixMillis, old.problem.Count
		}
		e.see(now)
		l.tables[key] = e
	}
}

// Refresh removes what is resolved: kinds that a route now serves, pools that now exist,
// and what was not seen for a while. The owner calls it after each change of the tables
// and about once a second. Nearest names follow the tables.
func (l *ProblemLog) Refresh(now int64, r *Resolver) {
	changed := l.tablesVersion != r.Version()
	l.tablesVersion = r.Version()
	l.refreshKinds(now, r, changed)
	l.refreshPools(now, r, changed)
}

func (l *ProblemLog) refreshKinds(now int64, r *Resolver, changed bool) {
	for key, e := range l.kinds {
		if r.serves(key.subject) || now-e.lastSeen > kindIdle.Milliseconds() {
			delete(l.kinds, key)
		} else if changed {
			e.update(unknownKindProblem(key.subject, r.NearestRoute(key.subject)))
		}
	}
}

func (l *ProblemLog) refreshPools(now int64, r *Resolver, changed bool) {
	for key, e := range l.pools {
		before := len(e.workers)
		maps.DeleteFunc(e.workers, func(_ string, seen int64) bool { return now-seen > poolIdle.Milliseconds() })
		if _, exists := r.Pool(key.subject); exists || len(e.workers) == 0 {
			delete(l.pools, key)
		} else if changed || len(e.workers) != before {
			e.describePool(key.subject, r)
		}
	}
}

// WorkerMoved removes a worker from the unknown pools because it now announces another
// pool, or leaves.
func (l *ProblemLog) RemoveWorker(worker string, r *Resolver) {
	for key, e := range l.pools {
		if _, ok := e.workers[worker]; !ok {
			continue
		}
		delete(e.workers, worker)
		if len(e.workers) == 0 {
			delete(l.pools, key)
			continue
		}
		e.describePool(key.subject, r)
	}
}

// List returns all problems, newest first by the time they were first seen. The caller
// owns the list.
func (l *ProblemLog) List() []api.Problem {
	var out []api.Problem
	for _, source := range []map[problemKey]*problemEntry{l.kinds, l.pools, l.tables} {
		for key, e := range source {
			if l.pools[key] != nil && l.pools[key] != e {
				continue // the check found what the announcements have shown
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

// add makes an entry. When the source is full, the entry with the fewest sightings goes,
// the longest unseen first, so that a stream of random names cannot push out a
// misspelling that many callers send.
func (l *ProblemLog) add(source map[problemKey]*problemEntry, key problemKey, now int64, p api.Problem) *problemEntry {
	if len(source) >= l.limit {
		delete(source, leastSeen(source))
	}
	p.FirstSeenUnixMillis = now
	e := &problemEntry{problem: p}
	source[key] = e
	return e
}

func leastSeen(source map[problemKey]*problemEntry) problemKey {
	var least problemKey
	var entry *problemEntry
	for key, e := range source {
		if entry == nil || cmp.Or(cmp.Compare(e.problem.Count, entry.problem.Count), cmp.Compare(e.lastSeen, entry.lastSeen),
			cmp.Compare(key.subject, least.subject)) < 0 {
			least, entry = key, e
		}
	}
	return least
}

func (e *problemEntry) see(now int64) {
	e.lastSeen = now
	e.problem.Count++
}

// update replaces the text and keeps what was counted.
func (e *problemEntry) update(p api.Problem) {
	p.FirstSeenUnixMillis, p.Count, p.Callers = e.problem.FirstSeenUnixMillis, e.problem.Count, e.problem.Callers
	e.problem = p
}

func (e *problemEntry) describePool(pool string, r *Resolver) {
	first := slices.Min(slices.Collect(maps.Keys(e.workers)))
	e.update(unknownPoolProblem(WorkerInfo{Worker: first, Pool: pool, Count: len(e.workers)}, r.NearestPool(pool)))
}

func unknownKindProblem(kind, near string) api.Problem {
	remedy := "\"oleanderchute routes\" lists the kinds that exist"
	if near != "" {
		remedy = fmt.Sprintf("tell the callers to send kind %q, or write \"aliases: [%s]\" in route %q", near, kind, near)
	}
	return warningProblem(ProblemUnknownKind, kind, near, fmt.Sprintf("callers send kind %q, which no route serves", kind), remedy)
}
