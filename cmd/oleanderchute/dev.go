package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
	"github.com/oleanderchute/oleanderchute/server"
	"github.com/oleanderchute/oleanderchute/standin"
)

// DevCmd runs one VM and stand-in workers in this process.
type DevCmd struct {
	HTTPAddress string `name:"http-address" default:"127.0.0.1:8080" help:"IP address and port for callers and operators."`
	PeerAddress string `name:"peer-address" default:"127.0.0.1:7080" help:"IP address and port for other VMs."`
	Workers     int    `default:"2" help:"Number of stand-in workers."`
	LogLevel    string `name:"log-level" default:"warn" enum:"debug,info,warn,error" help:"Least severe log level: debug, info, warn or error."`
}

// Help returns the detailed help of the command.
func (DevCmd) Help() string {
	return `Example: oleanderchute dev
  and in another terminal: oleanderchute --address 127.0.0.1:8080 submit g-1 --caller bank --kind drafting --wait 5s`
}

// devTables are the tables that dev applies.
var devTables = api.Tables{
	Routes: []api.Route{{Name: "drafting", Pool: "drafters"}},
	Pools:  []api.Pool{{Name: "drafters", Home: "dev"}},
}

// Run serves until SIGTERM or SIGINT. It uses a temporary data folder and removes it on
// return.
func (c *DevCmd) Run(a *app) error {
	dir, err := os.MkdirTemp("", "oleanderchute-dev-")
	if err != nil {
		return errors.WithStack(err)
	}
	defer os.RemoveAll(dir)
	log, err := newLogger(c.LogLevel)
	if err != nil {
		return err
	}
	settings := server.Settings{
		VM: "dev", Region: "dev", FailureDomain: "dev", HTTPAddress: c.HTTPAddress, PeerAddress: c.PeerAddress,
		DataDir: filepath.Join(dir, "vm"), Bootstrap: true, LogLevel: c.LogLevel,
		MaxConnections: 512, MaxWaiters: 1000, DrainTimeout: 5 * time.Second,
	}
	s, err := server.New(settings, log)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(a.ctx)
	g.Go(func() error { return s.Run(ctx) })
	g.Go(func() error { return c.applyTablesAndRunWorkers(ctx, a, dir, log) })
	return g.Wait()
}

// applyTablesAndRunWorkers applies devTables and runs the stand-in workers until ctx ends.
func (c *DevCmd) applyTablesAndRunWorkers(ctx context.Context, a *app, dir string, log *zap.Logger) error {
	operator, err := client.New([]string{c.HTTPAddress}, client.Options{})
	if err != nil {
		return err
	}
	defer operator.Close()
	if err := applyDevTables(ctx, operator); err != nil {
		return err
	}
	for i := range c.Workers {
		w, err := standin.Start(devWorkerConfig(i, c.HTTPAddress, dir, log))
		if err != nil {
			return err
		}
		defer w.Close()
	}
	fmt.Fprintf(a.out, "ready: %d workers, kind %q at %s; end with Ctrl-C\n", c.Workers, devTables.Routes[0].Name, c.HTTPAddress)
	<-ctx.Done()
	return nil
}

// applyDevTables retries until the cluster accepts devTables or ctx ends.
func applyDevTables(ctx context.Context, operator *client.Client) error {
	change := api.ApplyRequest{ChangeID: "dev", Operator: "dev", Tables: devTables}
	for {
		response, err := operator.Apply(ctx, change)
		if err == nil && response.Accepted {
			return nil
		}
		if ctx.Err() != nil {
			return nil // normal shutdown
		}
		if err == nil && !isPartitionMissing(response) {
			return errors.Errorf("development tables were refused: %s", response.Reason)
		}
		time.Sleep(50 * time.Millisecond)
		change.ChangeID = client.NewChangeID()
	}
}

// isPartitionMissing reports whether the change was refused because the first partition was
// not assigned yet. It is assigned shortly after the cluster is created.
func isPartitionMissing(response api.ApplyResponse) bool {
	for _, p := range response.Problems {
		if p.Kind == "unknown_home" {
			return true
		}
	}
	return false
}

func devWorkerConfig(i int, entry, dir string, log *zap.Logger) standin.Config {
	name := fmt.Sprintf("worker%d", i+1)
	return standin.Config{
		Worker: name, Pool: "drafters", Rack: "r1", FailureDomain: "dev", Region: "dev",
		Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 65536}, Slots: 8, Connections: 64,
		Entries: []string{"http://" + entry}, Journal: filepath.Join(dir, name+".journal"), Log: log,
	}
}
