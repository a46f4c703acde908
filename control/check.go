package control

import (
	"fmt"
	"slices"
	"strings"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxEntries limits the number of kinds (routes and aliases) and the number of pools. It
// bounds the time of a check and is ten times the 1,000 routes that the tables are
// designed for.
const maxEntries = 10000

// Check validates the new tables as a replacement of the old ones and returns the
// problems, errors first. Nil workers or nil partitions mean that they are unknown, and
// the checks that depend on them are skipped; an empty list means that there are none.
//
// Every replica runs Check when it applies a change, and all replicas must reach the same
// decision. A rule that reports errors must therefore not change while VMs run different
// versions of this code.
func Check(old, new api.Tables, workers []WorkerInfo, partitions []string) []api.Problem {
	if kinds := countKinds(new); kinds > maxEntries || len(new.Pools) > maxEntries {
		return []api.Problem{newErrorProblem(ProblemTooManyEntries, "tables", "",
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

// countKinds returns the number of routes and aliases.
func countKinds(t api.Tables) int {
	n := len(t.Routes)
	for _, r := range t.Routes {
		n += len(r.Aliases)
	}
	return n
}

// checker holds the input of Check and collects the problems that it finds.
type checker struct {
	old, new      api.Tables
	workers       []WorkerInfo // summarized, one entry per pool
	hasWorkerInfo bool         // whether the workers are known
	partitions    []string     // names of the partitions; nil if unknown
	pools         map[string]api.Pool
	poolNames     *nameIndex
	routeCounts   map[string]int        // number of routes by pool name
	workersByPool map[string]WorkerInfo // summary of the announcing workers by pool name
	problems      []api.Problem
}

func newChecker(old, new api.Tables, workers []WorkerInfo, partitions []string) *checker {
	c := &checker{
		old: old, new: new, workers: SummarizeWorkers(workers), hasWorkerInfo: workers != nil, partitions: partitions,
		pools: indexByName(new.Pools, poolName), routeCounts: countRoutesByPool(new), workersByPool: make(map[string]WorkerInfo),
	}
	names := make([]string, 0, len(new.Pools))
	for _, p := range new.Pools {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	c.poolNames = newNameIndex(names)
	for _, w := range c.workers {
		c.workersByPool[w.Pool] = w
	}
	return c
}

// countRoutesByPool returns the number of routes by pool name.
func countRoutesByPool(t api.Tables) map[string]int {
	out := make(map[string]int)
	for _, r := range t.Routes {
		out[r.Pool]++
	}
	return out
}

func (c *checker) error(kind, subject, nearest, message, remedy string) {
	c.problems = append(c.problems, newErrorProblem(kind, subject, nearest, message, remedy))
}

func (c *checker) warn(kind, subject, nearest, message, remedy string) {
	c.problems = append(c.problems, newWarningProblem(kind, subject, nearest, message, remedy))
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
	if r.Workload != "" && !slices.Contains(workloadNames, string(r.Workload)) {
		c.reportInvalidChoice(r.Name, "workload", string(r.Workload), workloadNames)
	}
	if r.Class != "" && !slices.Contains(classNames, string(r.Class)) {
		c.reportInvalidChoice(r.Name, "class", string(r.Class), classNames)
	}
}

var (
	workloadNames = []string{string(api.WorkloadService), string(api.WorkloadBatch), string(api.WorkloadGang)}
	classNames    = []string{string(api.ClassUrgent), string(api.ClassNormal), string(api.ClassLow)}
)

func (c *checker) reportInvalidChoice(route, field, value string, choices []string) {
	near := Nearest(value, choices)
	c.error(ProblemBadValue, route, near, fmt.Sprintf("route %q has %s %q", route, field, value), choiceRemedy(field, near, choices))
}

// choiceRemedy suggests near, or any of choices if near is empty.
func choiceRemedy(field, near string, choices []string) string {
	if near != "" {
		return fmt.Sprintf("write \"%s: %s\"; allowed are %s", field, near, strings.Join(choices, ", "))
	}
	return fmt.Sprintf("write \"%s:\" with one of %s", field, strings.Join(choices, ", "))
}

// checkAliases reports aliases that equal the name of a route or another alias, because
// such a kind would not identify a single route.
func (c *checker) checkAliases() {
	routes := indexByName(c.new.Routes, routeName)
	routeByAlias := make(map[string]string)
	for _, r := range c.new.Routes {
		for _, a := range r.Aliases {
			c.checkName("alias", a)
			if _, ok := routes[a]; ok {
				c.error(ProblemAliasConflict, a, "", fmt.Sprintf("alias %q of route %q is the name of a route", a, r.Name),
					fmt.Sprintf("remove %q from the aliases of route %q", a, r.Name))
			} else if first, ok := routeByAlias[a]; ok {
				c.error(ProblemAliasConflict, a, "", fmt.Sprintf("alias %q is written in route %q and in route %q", a, first, r.Name),
					fmt.Sprintf("remove %q from the aliases of one of them", a))
			}
			routeByAlias[a] = r.Name
		}
	}
}

// checkHomes compares the homes with those in the old tables. State.Check also compares
// them with the homes in all earlier versions.
func (c *checker) checkHomes() {
	h := newHomes()
	h.recordTables(c.old)
	c.problems = append(c.problems, h.findChanges(c.new)...)
}
