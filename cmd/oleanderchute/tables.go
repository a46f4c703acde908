package main

import (
	"fmt"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
)

// TablesCmd prints the tables in force.
type TablesCmd struct{}

// Help returns the detailed help of the command.
func (TablesCmd) Help() string {
	return `The file begins with the version in force, which is the base version of the next change.

Example: oleanderchute tables > tables.yaml`
}

// Run prints the tables as a table file or as JSON.
func (TablesCmd) Run(a *app) error {
	t, err := a.tablesInForce()
	if err != nil {
		return err
	}
	return a.print(t, func() { fmt.Fprint(a.out, string(control.FormatTables(t))) })
}

func (a *app) tablesInForce() (api.Tables, error) {
	c, err := a.client()
	if err != nil {
		return api.Tables{}, err
	}
	defer c.Close()
	return c.Tables(a.ctx)
}
