package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

// ExplainCmd explains why a request has not started.
type ExplainCmd struct{ RequestFlags }

// Help returns the detailed help of the command.
func (ExplainCmd) Help() string {
	return "Example: oleanderchute explain g-2041 --caller tenders --kind draft-guarantee"
}

// Run prints the explanation.
func (c *ExplainCmd) Run(a *app) error {
	e, err := callCluster(a, func(cl *client.Client, ctx context.Context) (api.Explanation, error) {
		return cl.Explain(ctx, c.key(), c.Kind)
	})
	if err != nil {
		return err
	}
	return a.print(e, func() {
		var ruledOut []string
		for _, limit := range slices.Sorted(maps.Keys(e.RuledOut)) {
			ruledOut = append(ruledOut, fmt.Sprintf("%s %d", limit, e.RuledOut[limit]))
		}
		a.printTable([]string{"KEY", "STATE", "POSITION", "WAITS FOR", "WORKERS RULED OUT"}, [][]string{{
			e.Caller + "/" + e.Key, string(e.State), strconv.Itoa(e.Position), e.WaitsFor, strings.Join(ruledOut, ", ")}})
	})
}
