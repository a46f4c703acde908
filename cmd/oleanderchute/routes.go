package main

import (
	"strings"

	"github.com/oleanderchute/oleanderchute/api"
)

// RoutesCmd lists routes.
type RoutesCmd struct {
	Name string `arg:"" optional:"" help:"Show only this route."`
}

// Help returns the detailed help of the command.
func (RoutesCmd) Help() string { return "Example: oleanderchute routes" }

// Run lists the routes with the home of their pools.
func (c *RoutesCmd) Run(a *app) error {
	t, err := a.tablesInForce()
	if err != nil {
		return err
	}
	routes, err := selectByName(t.Routes, c.Name, "route", "routes", func(r api.Route) string { return r.Name })
	if err != nil {
		return err
	}
	homes := make(map[string]string)
	for _, p := range t.Pools {
		homes[p.Name] = p.Home
	}
	var rows [][]string
	for _, r := range routes {
		rows = append(rows, []string{r.Name, r.Pool, homes[r.Pool], string(r.Workload), string(r.Class), strings.Join(r.Aliases, ", ")})
	}
	return a.print(routes, func() { a.printTable([]string{"ROUTE", "POOL", "HOME", "WORKLOAD", "CLASS", "ALIASES"}, rows) })
}
