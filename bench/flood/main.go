// Command flood measures how much other work is still done while one team floods the cluster.
// It runs three daemons as processes and a fleet of stand-in workers in this process, and
// submits through all entry VMs: a steady load of several teams, then the same load with a
// flood of low work by one team at ten times the capacity, then with a flood of urgent
// work of the same size. It prints one table and checks the outcomes of all requests against the journals of
// the workers. The exit code is 1 if a target is missed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
	"github.com/oleanderchute/oleanderchute/internal/localcluster"
	"github.com/oleanderchute/oleanderchute/standin"
)

// options are the flags of the command.
type options struct {
	bin         string
	workers     int
	taskRunTime time.Duration // run time of each task
	window      time.Duration // length of one phase
}

// slotsPerWorker is the number of slots of a worker. A task takes one slot and an eighth of the
// worker's CPU.
const slotsPerWorker = 8

// tasksPerSecond returns the capacity of the fleet: the tasks that it can complete per second.
func (o options) tasksPerSecond() float64 {
	return float64(o.workers*slotsPerWorker) / o.taskRunTime.Seconds()
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "folder with the program oleanderchute")
	flag.IntVar(&o.workers, "workers", 10, "number of workers with 8 slots each")
	flag.DurationVar(&o.taskRunTime, "task", 100*time.Millisecond, "run time of a task")
	flag.DurationVar(&o.window, "window", 8*time.Second, "length of a phase")
	flag.Parse()
	missedTargets, err := run(context.Background(), o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "flood:", err)
		os.Exit(1)
	}
	for _, m := range missedTargets {
		fmt.Println("missed:", m)
	}
	if len(missedTargets) > 0 {
		os.Exit(1)
	}
}

// testbed is a local cluster with its workers and one client for each entry VM.
type testbed struct {
	*localcluster.Cluster
	options
	operatorClient *client.Client
	entryClients   []*client.Client // by entry VM
	workers        []*standin.Worker
	journals       []string // paths, by worker
}

// run measures the phases and returns a message for each missed target.
func run(ctx context.Context, o options) ([]string, error) {
	cluster, err := localcluster.New(o.bin)
	if err != nil {
		return nil, err
	}
	b := &testbed{Cluster: cluster, options: o}
	defer b.stop()
	if err := b.setUp(ctx); err != nil {
		return nil, err
	}
	return b.measure(ctx)
}

// setUp starts the daemons and workers and applies the tables.
func (b *testbed) setUp(ctx context.Context) error {
	if err := b.StartDaemons(localcluster.ThreeLocations); err != nil {
		return err
	}
	var err error
	if b.operatorClient, err = client.New(b.Addresses, client.Options{}); err != nil {
		return err
	}
	for _, address := range b.Addresses {
		// With one try each refusal is counted once and its latency is that of one call.
		c, err := client.New([]string{address}, client.Options{MaxTries: 1, CallTimeout: callTimeout})
		if err != nil {
			return err
		}
		b.entryClients = append(b.entryClients, c)
	}
	if err := localcluster.AwaitServing(ctx, readyTimeout, b.operatorClient, len(b.Addresses), 2); err != nil {
		return err
	}
	if err := b.applyTables(ctx); err != nil {
		return err
	}
	if err := b.startWorkers(); err != nil {
		return err
	}
	if err := localcluster.AwaitWorkers(ctx, readyTimeout, b.operatorClient, b.options.workers); err != nil {
		return err
	}
	time.Sleep(settleDelay)
	return nil
}

// settleDelay gives the replicas of the partitions time to reach their VMs before the first
// phase.
const settleDelay = 3 * time.Second

// callTimeout bounds a call. The time that the call asks the server to wait is added to it.
const callTimeout = 8 * time.Second

// readyTimeout bounds the time until the cluster has formed, and the time until its workers
// are ready.
const readyTimeout = 30 * time.Second

func (b *testbed) applyTables(ctx context.Context) error {
	response, err := b.operatorClient.Apply(ctx, api.ApplyRequest{Operator: "flood", Tables: api.Tables{
		Routes: []api.Route{{Name: requestKind, Pool: "drafters"}},
		Pools:  []api.Pool{{Name: "drafters", Home: "north"}},
	}})
	if err == nil && !response.Accepted {
		err = errors.Errorf("tables refused: %s %v", response.Reason, response.Problems)
	}
	return err
}

func (b *testbed) startWorkers() error {
	var urls []string
	for _, a := range b.Addresses {
		urls = append(urls, "http://"+a)
	}
	for i := range b.options.workers {
		name := fmt.Sprintf("w%02d", i)
		journal := filepath.Join(b.Dir, name+".journal")
		w, err := standin.Start(standin.Config{
			Worker: name, Pool: "drafters", Rack: fmt.Sprintf("r%d", i/slotsPerWorker), FailureDomain: "n1", Region: "north",
			Capacity: api.Resources{MilliCPU: slotsPerWorker * 1000, MemoryMB: slotsPerWorker * 1024}, Slots: slotsPerWorker, Connections: 64,
			Entries: urls, Journal: journal, DefaultRunTime: b.taskRunTime, Log: zap.NewNop(),
		})
		if err != nil {
			return err
		}
		b.workers, b.journals = append(b.workers, w), append(b.journals, journal)
	}
	return nil
}

func (b *testbed) stop() {
	for _, w := range b.workers {
		w.Close()
	}
	for _, c := range b.entryClients {
		c.Close()
	}
	if b.operatorClient != nil {
		b.operatorClient.Close()
	}
	b.Stop()
}
