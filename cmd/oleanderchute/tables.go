package main

import (
	"fmt"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
)

// TablesCmd prints the tables in force.
type TablesCmd struct{}

// Help shows an example.
func (TablesCmd) Help() string {
	return `The file begins with the version in force, on which the next change is based.

Example: oleanderchute tables > tables.yaml`
}

// Run prints a table file, or JSON.
func (TablesCmd) Run(a *app) error {
	t, err := a.tablesInForce()
	if err != nil {
		return err
	}
	return a.printOutput(t, func() { fmt.Fprint(a.out, string(control.FormatTables(t))) })
}

func (a *app) tablesInForce() (api.Tables, error) {
	c, err := a.client()
	if err != nil {
		return api.Tables{}, err
	}
	defer c.Close()
	return c.Tables(a.ctx)
}
