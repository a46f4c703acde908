package main

import (
	"fmt"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

// WorkersCmd lists workers.
type WorkersCmd struct {
	Pool string `help:"Show only the workers of this pool."`
}

// Help returns the detailed help of the command.
func (WorkersCmd) Help() string { return "Example: oleanderchute workers --pool drafting" }

// Run lists the workers as known to their owners.
func (c *WorkersCmd) Run(a *app) error {
	if c.Pool != "" {
		t, err := a.tablesInForce()
		if err != nil {
			return err
		}
		if _, err := selectByName(t.Pools, c.Pool, "pool", "workers --pool", func(p api.Pool) string { return p.Name }); err != nil {
			return err
		}
	}
	workers, err := callCluster(a, (*client.Client).Workers)
	if err != nil {
		return err
	}
	workers = slices.DeleteFunc(workers, func(w api.WorkerStatus) bool { return c.Pool != "" && w.Pool != c.Pool })
	var rows [][]string
	for _, w := range workers {
		rows = append(rows, []string{w.Worker, w.Pool, w.State, w.Region, w.FailureDomain, w.Rack,
			formatResources(w.Reserved) + " of " + formatResources(w.Capacity), fmt.Sprintf("%d of %d", w.Running, w.Slots)})
	}
	return a.print(workers, func() {
		a.printTable([]string{"WORKER", "POOL", "STATE", "REGION", "DOMAIN", "RACK", "RESERVED", "RUNNING"}, rows)
	})
}
