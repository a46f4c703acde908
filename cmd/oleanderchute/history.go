package main

import (
	"strconv"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

// HistoryCmd lists the accepted changes of the tables.
type HistoryCmd struct{}

// Help returns the detailed help of the command.
func (HistoryCmd) Help() string { return "Example: oleanderchute history" }

// Run lists the changes, newest first.
func (HistoryCmd) Run(a *app) error {
	header := []string{"VERSION", "TIME", "OPERATOR", "ROUTES", "POOLS", "CHANGE"}
	return printList(a, (*client.Client).History, header, func(list []api.HistoryEntry) (rows [][]string) {
		for _, h := range list {
			rows = append(rows, []string{strconv.FormatUint(h.Version, 10), formatUnixMillis(h.UnixMillis), h.Operator,
				strconv.Itoa(h.RoutesChanged), strconv.Itoa(h.PoolsChanged), h.ChangeID})
		}
		return rows
	})
}
