package main

import (
	"context"
	"io"
	"time"

	"github.com/oleanderchute/oleanderchute/client"
)

const description = `Daemon and operator client of the oleanderchute cluster scheduler.

Exit codes: 0 ok; 1 refused or failed; 2 usage; 3 no VM reachable or available;
4 outcome unknown (the call may have taken effect).

Example: oleanderchute --address 10.0.0.1:8080 --address 10.0.0.2:8080 status`

// CLI defines the commands and flags.
type CLI struct {
	Globals

	Serve ServeCmd `cmd:"" help:"Run the daemon of an entry VM."`
	Dev   DevCmd   `cmd:"" help:"Run one VM and stand-in workers in one process, for development."`

	Check    CheckCmd    `cmd:"" help:"Check a table file offline and, if an address is given, in the cluster."`
	Apply    ApplyCmd    `cmd:"" help:"Replace the tables in force with those of a file."`
	Diff     DiffCmd     `cmd:"" help:"Show what applying a file would change."`
	Tables   TablesCmd   `cmd:"" help:"Print the tables in force as a table file."`
	History  HistoryCmd  `cmd:"" help:"List the accepted changes of the tables, newest first."`
	Routes   RoutesCmd   `cmd:"" help:"List the routes in force."`
	Pools    PoolsCmd    `cmd:"" help:"List the pools in force."`
	Workers  WorkersCmd  `cmd:"" help:"List the workers as known to their owners."`
	Problems ProblemsCmd `cmd:"" help:"List problems that should be fixed, newest first."`
	Status   StatusCmd   `cmd:"" help:"Show the VMs and partitions."`
	Explain  ExplainCmd  `cmd:"" help:"Explain why a request has not started."`
	Submit   SubmitCmd   `cmd:"" help:"Submit a request."`
	Outcome  OutcomeCmd  `cmd:"" help:"Show the state or outcome of a request."`
	Cancel   CancelCmd   `cmd:"" help:"Cancel a request."`
	Drain    DrainCmd    `cmd:"" help:"Make a VM finish its current work and accept no new work."`
	SLO      SLOCmd      `cmd:"" name:"slo" help:"Show error budgets and burn rates of the service-level objectives."`
	Version  VersionCmd  `cmd:"" help:"Print the version of this program."`

	SettingsPage SettingsPageCmd `cmd:"" name:"settings-page" hidden:"" help:"Generate the settings page from the flags."`
}

// Globals are the flags of all commands.
type Globals struct {
	Address []string      `env:"OLEANDER_ADDRESS" sep:"," placeholder:"HOST:PORT" help:"Address of an entry VM; may be repeated. The addresses are tried in turn."`
	Output  string        `enum:"table,json" default:"table" help:"Output format: table for people or json for scripts."`
	Timeout time.Duration `default:"30s" help:"Time limit of a call including retries; time to wait for an outcome is added."`
}

// streams are the standard streams; tests replace them.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// app holds what the Run methods of the commands share.
type app struct {
	Globals
	streams
	ctx context.Context // canceled at SIGINT and SIGTERM
}

// client returns a client for the addresses given on the command line.
func (a *app) client() (*client.Client, error) {
	if len(a.Address) == 0 {
		return nil, usageErrorf("no address of an entry VM is given; type \"--address HOST:PORT\" or set OLEANDER_ADDRESS")
	}
	c, err := client.New(a.Address, client.Options{MaxElapsed: a.Timeout, CallTimeout: min(a.Timeout, 4*time.Second)})
	if err != nil {
		return nil, usageErrorf("%v; type \"--address HOST:PORT\"", err)
	}
	return c, nil
}
