package control

import (
	"fmt"
	"maps"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxShare bounds a share, so that sums of shares over all teams stay far from overflow.
const maxShare = 1_000_000

// maxQuota bounds each dimension of a quota: a thousand times what 6,600 workers with
// 128 cores hold in milli_cpu, so larger values are typing errors.
const maxQuota = 1_000_000_000_000

func (c *checker) checkPools() {
	seen := make(map[string]bool)
	for _, p := range c.new.Pools {
		c.checkName("pool", p.Name)
		if seen[p.Name] {
			c.error(ProblemDuplicatePool, p.Name, "", fmt.Sprintf("pool %q is written twice", p.Name),
				fmt.Sprintf("remove one of the two \"- name: %s\" in pools", p.Name))
		}
		seen[p.Name] = true
		c.checkHome(p)
		c.checkShares(p)
		c.checkQuotas(p)
		c.checkPoolUse(p)
	}
}

func (c *checker) checkHome(p api.Pool) {
	if p.Home == "" {
		c.error(ProblemUnknownHome, p.Name, "", fmt.Sprintf("pool %q has no home", p.Name),
			fmt.Sprintf("write \"home: PARTITION\" in pool %q", p.Name))
		return
	}
	if c.partitions == nil || slices.Contains(c.partitions, p.Home) {
		return
	}
	near := Nearest(p.Home, c.partitions)
	remedy := "\"oleanderchute status\" lists the partitions"
	if near != "" {
		remedy = fmt.Sprintf("write \"home: %s\" in pool %q", near, p.Name)
	}
	c.error(ProblemUnknownHome, p.Name, near, fmt.Sprintf("pool %q has home %q, which is no partition", p.Name, p.Home), remedy)
}

func (c *checker) checkShares(p api.Pool) {
	for _, team := range slices.Sorted(maps.Keys(p.Shares)) {
		c.checkTeam(p, team)
		if fault := shareFault(p.Shares[team]); fault != "" {
			c.error(ProblemBadShare, p.Name, "", fmt.Sprintf("pool %q gives team %q the share %d, which %s", p.Name, team, p.Shares[team], fault),
				fmt.Sprintf("write \"%s: N\" in the shares of pool %q with N from 1 to %d, or leave the team out for 1", team, p.Name, maxShare))
		}
	}
}

// shareFault refuses 0 too: a team without any share would wait forever under load.
func shareFault(share int64) string {
	switch {
	case share <= 0:
		return "is not positive"
	case share > maxShare:
		return fmt.Sprintf("is above %d", maxShare)
	}
	return ""
}

func (c *checker) checkTeam(p api.Pool, team string) {
	if fault := nameFault(team); fault != "" {
		shown := truncate(team, maxNameBytes)
		c.error(ProblemBadName, shown, "", fmt.Sprintf("team name %q in pool %q %s", shown, p.Name, fault), badNameRemedy(shown))
	}
}

func (c *checker) checkQuotas(p api.Pool) {
	for _, team := range slices.Sorted(maps.Keys(p.Quotas)) {
		c.checkTeam(p, team)
		c.checkQuota(p, team, p.Quotas[team])
	}
}

func (c *checker) checkQuota(p api.Pool, team string, quota api.Resources) {
	held := c.announced[p.Name]
	for _, d := range dimensions(quota, held.Capacity) {
		switch {
		case d.quota < 0 || d.quota > maxQuota:
			c.error(ProblemBadQuota, p.Name, "", fmt.Sprintf("pool %q gives team %q the quota %s: %d", p.Name, team, d.name, d.quota),
				fmt.Sprintf("write \"%s:\" with a number from 0 to %d for team %q", d.name, int64(maxQuota), team))
		case held.Pool != "" && d.quota > d.held:
			c.warn(ProblemQuotaExceedsWorkers, p.Name, "",
				fmt.Sprintf("pool %q gives team %q the quota %s: %d; its %d workers hold %d", p.Name, team, d.name, d.quota, held.count(), d.held),
				fmt.Sprintf("write \"%s: %d\" or less for team %q, or add workers to pool %q", d.name, d.held, team, p.Name))
		}
	}
	if quota.MilliCPU == 0 || quota.MemoryMB == 0 {
		c.warn(ProblemBadQuota, p.Name, "",
			fmt.Sprintf("pool %q gives team %q the quota milli_cpu: %d, memory_mb: %d, so its tasks never start", p.Name, team, quota.MilliCPU, quota.MemoryMB),
			fmt.Sprintf("write both milli_cpu and memory_mb for team %q, or remove its quota for no bound", team))
	}
}

type dimension struct {
	name        string
	quota, held int64
}

func dimensions(quota, held api.Resources) []dimension {
	return []dimension{
		{"milli_cpu", quota.MilliCPU, held.MilliCPU},
		{"memory_mb", quota.MemoryMB, held.MemoryMB},
		{"accelerators", quota.Accelerators, held.Accelerators},
	}
}

// checkPoolUse warns of a pool that no route names or that no worker serves.
func (c *checker) checkPoolUse(p api.Pool) {
	workers, used := c.announced[p.Name]
	if c.routesOf[p.Name] == 0 {
		c.checkUnrouted(p, workers, used)
	}
	if c.workersKnown && !used {
		near := Nearest(p.Name, c.unservedPools())
		remedy := fmt.Sprintf("start workers with \"--pool %s\"", p.Name)
		if near != "" {
			remedy = fmt.Sprintf("workers announce pool %q: start them with \"--pool %s\", or rename the pool to %q", near, p.Name, near)
		}
		c.warn(ProblemPoolWithoutWorker, p.Name, near, fmt.Sprintf("no worker announces pool %q", p.Name), remedy)
	}
}

func (c *checker) checkUnrouted(p api.Pool, workers WorkerInfo, used bool) {
	remedy := fmt.Sprintf("add to routes: \"- name: KIND\" with \"pool: %s\", or remove the pool once its workers are stopped", p.Name)
	if used && routesByPool(c.old)[p.Name] > 0 {
		c.warn(ProblemPoolLosesLastRoute, p.Name, "",
			fmt.Sprintf("the change leaves pool %q without a route while %d workers serve it", p.Name, workers.count()), remedy)
		return
	}
	c.warn(ProblemPoolWithoutRoute, p.Name, "", fmt.Sprintf("no route names pool %q", p.Name), remedy)
}

// unservedPools returns the pools that workers announce and that do not exist.
func (c *checker) unservedPools() []string {
	var out []string
	for _, w := range c.workers {
		if _, ok := c.pools[w.Pool]; !ok {
			out = append(out, w.Pool)
		}
	}
	return out
}

func (c *checker) checkWorkers() {
	for _, w := range c.workers {
		if _, ok := c.pools[w.Pool]; !ok {
			c.problems = append(c.problems, unknownPoolProblem(w, c.poolNames.nearest(w.Pool)))
		}
	}
}

// unknownPoolProblem reports workers that announce a pool which does not exist.
func unknownPoolProblem(w WorkerInfo, near string) api.Problem {
	pool := truncate(w.Pool, maxNameBytes)
	who := fmt.Sprintf("worker %q announces", w.Worker)
	if w.count() > 1 {
		who = fmt.Sprintf("%d workers, such as %q, announce", w.count(), w.Worker)
	}
	remedy := fmt.Sprintf("add to pools: \"- name: %s\" with its home, or start the workers with the name of an existing pool", pool)
	if near != "" {
		remedy = fmt.Sprintf("start them with \"--pool %s\", or add to pools: \"- name: %s\" with its home", near, pool)
	}
	return warningProblem(ProblemWorkerWithoutPool, pool, near, fmt.Sprintf("%s pool %q, which does not exist, so they get no work", who, pool), remedy)
}
