package main

import (
	"github.com/oleanderchute/oleanderchute/client"
)

// ProblemsCmd lists the problems that should be fixed.
type ProblemsCmd struct{}

// Help returns the detailed help of the command.
func (ProblemsCmd) Help() string { return "Example: oleanderchute problems" }

// Run lists the problems.
func (ProblemsCmd) Run(a *app) error {
	list, err := callCluster(a, (*client.Client).Problems)
	if err != nil {
		return err
	}
	return a.print(list, func() {
		a.printProblemList(list)
		if len(list) == 0 {
			a.printLinef("no problems")
		}
	})
}
