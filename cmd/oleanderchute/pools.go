package main

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/oleanderchute/oleanderchute/api"
)

// PoolsCmd lists pools.
type PoolsCmd struct {
	Name string `arg:"" optional:"" help:"Show only this pool."`
}

// Help returns the detailed help of the command.
func (PoolsCmd) Help() string { return "Example: oleanderchute pools" }

// Run lists the pools.
func (c *PoolsCmd) Run(a *app) error {
	t, err := a.tablesInForce()
	if err != nil {
		return err
	}
	pools, err := selectByName(t.Pools, c.Name, "pool", "pools", func(p api.Pool) string { return p.Name })
	if err != nil {
		return err
	}
	var rows [][]string
	for _, p := range pools {
		rows = append(rows, []string{p.Name, p.Home,
			formatByTeam(p.Shares, func(v int64) string { return strconv.FormatInt(v, 10) }), formatByTeam(p.Quotas, formatResources)})
	}
	return a.print(pools, func() { a.printTable([]string{"POOL", "HOME", "SHARES", "QUOTAS"}, rows) })
}

func formatByTeam[V any](m map[string]V, format func(V) string) string {
	var out []string
	for _, team := range slices.Sorted(maps.Keys(m)) {
		out = append(out, team+"="+format(m[team]))
	}
	return strings.Join(out, ", ")
}
