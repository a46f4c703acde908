package main

import (
	"fmt"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
	"github.com/oleanderchute/oleanderchute/control"
)

// ApplyCmd replaces the tables in force.
type ApplyCmd struct {
	File     string  `arg:"" help:"Table file in YAML; - for the standard input."`
	Base     *uint64 `help:"Version that the change is based on; by default the version in the file."`
	ChangeID string  `help:"Id of the change; to resend a change after an unknown result, give its id."`
	Operator string  `env:"OLEANDER_OPERATOR,USER" help:"Operator name to record in the history."`
}

// Help returns the detailed help of the command.
func (ApplyCmd) Help() string {
	return `The change is accepted only if its base version is still in force. Otherwise another
change was accepted first and this one has no effect.

Example: oleanderchute tables > tables.yaml, edit it, then oleanderchute apply tables.yaml
Example: oleanderchute apply tables.yaml --base 41`
}

// Run checks the file, sends the change and prints the response.
func (c *ApplyCmd) Run(a *app) error {
	tables, err := a.readTables(c.File)
	if err != nil {
		return err
	}
	if problems := control.Check(api.Tables{}, tables, nil, nil); countErrors(problems) > 0 {
		return a.reportProblems(c.File, problems)
	}
	base, err := c.baseVersion(a, tables)
	if err != nil {
		return err
	}
	request := api.ApplyRequest{ChangeID: c.ChangeID, BaseVersion: base, Operator: c.Operator, Tables: tables}
	if request.ChangeID == "" {
		request.ChangeID = client.NewChangeID()
	}
	return c.send(a, request)
}

// baseVersion returns the version that the change is based on. For a file without version
// it returns an error if tables are in force. Using the version in force would undo changes
// that others made after the file was written.
func (c *ApplyCmd) baseVersion(a *app, tables api.Tables) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	if tables.Version > 0 {
		return tables.Version, nil
	}
	inForce, err := a.tablesInForce()
	if err != nil || inForce.Version == 0 {
		return 0, err
	}
	return 0, failureErrorf("%s has no version, and version %d is in force; see \"oleanderchute diff %s\", then write \"version: %d\" at its top",
		c.File, inForce.Version, c.File, inForce.Version)
}

func (c *ApplyCmd) send(a *app, request api.ApplyRequest) error {
	cl, err := a.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	response, err := cl.Apply(a.ctx, request)
	if exitCode(err) == exitUnknown {
		return &exitError{exitUnknown, fmt.Sprintf("%v; to get the result, type \"oleanderchute apply %s --base %d --change-id %s\"",
			err, c.File, request.BaseVersion, request.ChangeID)}
	}
	if err != nil {
		return err
	}
	if err := a.print(response, func() { a.printProblemList(response.Problems) }); err != nil {
		return err
	}
	if !response.Accepted {
		return &exitError{exitFailed, c.refusalMessage(request, response)}
	}
	if a.Output != "json" {
		a.printLinef("accepted: version %d is in force; write \"version: %d\" in %s before the next change", response.Version, response.Version, c.File)
	}
	return nil
}

// refusalMessage returns the reason of a refused change and, after a version conflict, what
// to do next.
func (c *ApplyCmd) refusalMessage(request api.ApplyRequest, response api.ApplyResponse) string {
	message := "not accepted: " + response.Reason
	if response.Version != request.BaseVersion {
		message += fmt.Sprintf("; see \"oleanderchute diff %s\", merge the other change into the file, then write \"version: %d\" in it and apply it again",
			c.File, response.Version)
	}
	return message
}
