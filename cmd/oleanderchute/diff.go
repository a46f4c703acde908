package main

import (
	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
)

// DiffCmd compares a table file with the tables in force.
type DiffCmd struct {
	File string `arg:"" help:"Table file in YAML; - for the standard input."`
}

// Help returns the detailed help of the command.
func (DiffCmd) Help() string {
	return `Lines begin with + for added, ~ for changed and - for removed entries.

Example: oleanderchute diff tables.yaml`
}

// Run prints the differences.
func (c *DiffCmd) Run(a *app) error {
	tables, err := a.readTables(c.File)
	if err != nil {
		return err
	}
	inForce, err := a.tablesInForce()
	if err != nil {
		return err
	}
	delta := control.Diff(inForce, tables)
	return a.print(delta, func() { a.printDelta(inForce, delta) })
}

func (a *app) printDelta(inForce api.Tables, d control.Delta) {
	if d.IsEmpty() {
		a.printLinef("no difference to version %d", inForce.Version)
		return
	}
	routes, pools := make(map[string]bool), make(map[string]bool)
	for _, r := range inForce.Routes {
		routes[r.Name] = true
	}
	for _, p := range inForce.Pools {
		pools[p.Name] = true
	}
	for _, r := range d.PutRoutes {
		a.printLinef("%s route %s: pool %s aliases %v workload %q class %q", putMarker(routes[r.Name]), r.Name, r.Pool, r.Aliases, r.Workload, r.Class)
	}
	for _, name := range d.DropRoutes {
		a.printLinef("- route %s", name)
	}
	for _, p := range d.PutPools {
		a.printLinef("%s pool %s: home %s shares %v quotas %v", putMarker(pools[p.Name]), p.Name, p.Home, p.Shares, p.Quotas)
	}
	for _, name := range d.DropPools {
		a.printLinef("- pool %s", name)
	}
}

// putMarker returns the marker of a changed or added entry.
func putMarker(existed bool) string {
	if existed {
		return "~"
	}
	return "+"
}
