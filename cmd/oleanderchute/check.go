package main

import (
	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
)

// CheckCmd checks a table file.
type CheckCmd struct {
	File string `arg:"" help:"Table file in YAML; - for the standard input."`
}

// Help returns the detailed help of the command.
func (CheckCmd) Help() string {
	return `Without an address only the file itself is checked. With an address it is also checked
against the partitions, the tables in force and the workers of the cluster. The exit code is 1
if there are errors; warnings do not change it.

Example: oleanderchute check tables.yaml
Example: oleanderchute --address 10.0.0.1:8080 check tables.yaml`
}

// Run checks the file offline and, if an address is given, in the cluster.
func (c *CheckCmd) Run(a *app) error {
	tables, err := a.readTables(c.File)
	if err != nil {
		return err
	}
	problems := control.Check(api.Tables{}, tables, nil, nil)
	if len(a.Address) > 0 {
		fromCluster, err := a.checkInCluster(tables)
		if err != nil {
			_ = a.reportProblems(c.File, problems)
			return err
		}
		problems = fromCluster // these include the problems found offline
	}
	if err := a.reportProblems(c.File, problems); err != nil {
		return err
	}
	if a.Output != "json" {
		a.printLinef("%s: routes: %d, pools: %d, errors: 0, warnings: %d", c.File, len(tables.Routes), len(tables.Pools), len(problems))
	}
	return nil
}

func (a *app) checkInCluster(tables api.Tables) ([]api.Problem, error) {
	c, err := a.client()
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.Check(a.ctx, tables)
}
