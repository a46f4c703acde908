package control

import (
	"fmt"
	"slices"
	"strings"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxEntries bounds kinds (routes and aliases) and pools each. It is ten times the 1,000
// routes that the tables are designed for and bounds the time of a check.
const maxEntries = 10000

// Check returns the problems of the new tables as a replacement of the old, errors
// first. Nil workers or nil partitions mean that they are not known, and the checks that
// need them are left out; an empty list means that there are none.
//
// Every replica runs the check when it applies a change. A rule that yields errors must
// therefore not change while VMs with different versions of this code run together.
func Check(old, new api.Tables, workers []WorkerInfo, partitions []string) []api.Problem {
	if kinds := countKinds(new); kinds > maxEntries || len(new.Pools) > maxEntries {
		return []api.Problem{errorProblem(ProblemTooManyEntries, "tables", "",
			fmt.Sprintf("%d kinds and %d pools; at most %d of each are allowed", kinds, len(new.Pools), maxEntries),
			"remove routes, aliases or pools that nobody uses")}
	}
	c := newChecker(old, new, workers, partitions)
	c.checkRoutes()
	c.checkAliases()
	c.checkPools()
	c.checkWorkers()
	c.checkHomes()
	c.checkNearDuplicates()
	sortProblems(c.problems)
	return c.problems
}

func countKinds(t api.Tables) int {
	n := len(t.Routes)
	for _, r := range t.Routes {
		n += len(r.Aliases)
	}
	return n
}

// checker holds the tables under check and collects the problems.
type checker struct {
	old, new     api.Tables
	workers      []WorkerInfo // one entry a pool
	workersKnown bool
	partitions   []string
	pools        map[string]api.Pool
	poolNames    *nameIndex
	routesOf     map[string]int // number of routes by pool
	announced    map[string]WorkerInfo
	problems     []api.Problem
}

func newChecker(old, new api.Tables, workers []WorkerInfo, partitions []string) *checker {
	c := &checker{
		old: old, new: new, workers: SummarizeWorkers(workers), workersKnown: workers != nil, partitions: partitions,
		pools: byName(new.Pools, poolName), routesOf: routesByPool(new), announced: make(map[string]WorkerInfo),
	}
	names := make([]string, 0, len(new.Pools))
	for _, p := range new.Pools {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	c.poolNames = newNameIndex(names)
	for _, w := range c.workers {
		c.announced[w.Pool] = w
	}
	return c
}

func routesByPool(t api.Tables) map[string]int {
	out := make(map[string]int)
	for _, r := range t.Routes {
		out[r.Pool]++
	}
	return out
}

func (c *checker) error(kind, subject, nearest, message, remedy string) {
	c.problems = append(c.problems, errorProblem(kind, subject, nearest, message, remedy))
}

func (c *checker) warn(kind, subject, nearest, message, remedy string) {
	c.problems = append(c.problems, warningProblem(kind, subject, nearest, message, remedy))
}

func (c *checker) checkRoutes() {
	seen := make(map[string]bool)
	for _, r := range c.new.Routes {
		c.checkName("route", r.Name)
		if seen[r.Name] {
			c.error(ProblemDuplicateRoute, r.Name, "", fmt.Sprintf("route %q is written twice", r.Name),
				fmt.Sprintf("remove one of the two \"- name: %s\" in routes", r.Name))
		}
		seen[r.Name] = true
		c.checkRoutePool(r)
		c.checkRouteValues(r)
	}
}

func (c *checker) checkRoutePool(r api.Route) {
	if _, ok := c.pools[r.Pool]; ok {
		return
	}
	near := c.poolNames.nearest(r.Pool)
	remedy := fmt.Sprintf("add to pools: \"- name: %s\" with its home, or name an existing pool", r.Pool)
	if near != "" {
		remedy = fmt.Sprintf("write \"pool: %s\" in route %q, or add to pools: \"- name: %s\" with its home", near, r.Name, r.Pool)
	}
	message := fmt.Sprintf("route %q names pool %q, which is not in pools", r.Name, r.Pool)
	if r.Pool == "" {
		message, remedy = fmt.Sprintf("route %q names no pool", r.Name), fmt.Sprintf("write \"pool: NAME\" in route %q", r.Name)
	}
	c.error(ProblemRouteWithoutPool, r.Name, near, message, remedy)
}

func (c *checker) checkRouteValues(r api.Route) {
	if r.Workload != "" && !slices.Contains(workloads, string(r.Workload)) {
		c.badChoice(r.Name, "workload", string(r.Workload), workloads)
	}
	if r.Class != "" && !slices.Contains(classes, string(r.Class)) {
		c.badChoice(r.Name, "class", string(r.Class), classes)
	}
}

var (
	workloads = []string{string(api.WorkloadService), string(api.WorkloadBatch), string(api.WorkloadGang)}
	classes   = []string{string(api.ClassUrgent), string(api.ClassNormal), string(api.ClassLow)}
)

func (c *checker) badChoice(route, field, value string, choices []string) {
	near := Nearest(value, choices)
	c.error(ProblemBadValue, route, near, fmt.Sprintf("route %q has %s %q", route, field, value), choiceRemedy(field, near, choices))
}

func choiceRemedy(field, near string, choices []string) string {
	if near != "" {
		return fmt.Sprintf("write \"%s: %s\"; allowed are %s", field, near, strings.Join(choices, ", "))
	}
	return fmt.Sprintf("write \"%s:\" with one of %s", field, strings.Join(choices, ", "))
}

// checkAliases refuses an alias that equals a name or alias of another route, since the
// kind would have two meanings.
func (c *checker) checkAliases() {
	names := byName(c.new.Routes, routeName)
	owner := make(map[string]string)
	for _, r := range c.new.Routes {
		for _, a := range r.Aliases {
			c.checkName("alias", a)
			if _, ok := names[a]; ok {
				c.error(ProblemAliasConflict, a, "", fmt.Sprintf("alias %q of route %q is the name of a route", a, r.Name),
					fmt.Sprintf("remove %q from the aliases of route %q", a, r.Name))
			} else if first, ok := owner[a]; ok {
				c.error(ProblemAliasConflict, a, "", fmt.Sprintf("alias %q is written in route %q and in route %q", a, first, r.Name),
					fmt.Sprintf("remove %q from the aliases of one of them", a))
			}
			owner[a] = r.Name
		}
	}
}

// checkHomes compares homes with the old tables. State.Check also compares them with
// the names of all former versions.
func (c *checker) checkHomes() {
	h := newHomes()
	h.record(c.old)
	c.problems = append(c.problems, h.check(c.new)...)
}
