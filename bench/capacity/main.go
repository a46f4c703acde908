// Command capacity measures what the control of workers and requests costs an entry VM:
// processor time, memory and traffic of three daemons as the number of workers, the rate of
// requests and the rate of table changes grow. The workers are stand-ins in this process. For
// docs/CAPACITY.md it prints one table for each series, with the slopes of its columns.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/oleanderchute/oleanderchute/client"
	"github.com/oleanderchute/oleanderchute/internal/localcluster"
)

// options are the flags of the command.
type options struct {
	bin          string
	workerCounts []int
	requestRates []int         // requests per second
	changeRates  []int         // table changes per second
	window       time.Duration // length of one measurement
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "folder with the programs oleanderchute and standin-worker")
	workers := flag.String("workers", "50,200,800", "numbers of workers")
	rates := flag.String("rates", "0,100,400", "requests per second, with the first number of workers")
	changes := flag.String("changes", "0,2,8", "table changes per second, with the first number of workers")
	flag.DurationVar(&o.window, "window", 8*time.Second, "length of one measurement")
	flag.Parse()
	o.workerCounts, o.requestRates, o.changeRates = parseNumbers(*workers), parseNumbers(*rates), parseNumbers(*changes)
	if err := run(context.Background(), o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// parseNumbers parses a comma-separated list of integers. It ends the process if it can't.
func parseNumbers(list string) []int {
	var out []int
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil {
			fmt.Fprintf(os.Stderr, "capacity: %q is not a comma-separated list of integers\n", list)
			os.Exit(2)
		}
		out = append(out, n)
	}
	return out
}

func run(ctx context.Context, o options) error {
	if err := measureWorkerCounts(ctx, o); err != nil {
		return err
	}
	if err := measureRequestRates(ctx, o, false); err != nil {
		return err
	}
	if err := measureRequestRates(ctx, o, true); err != nil {
		return err
	}
	return measureTableChanges(ctx, o)
}

// testbed is a local cluster with its workers and a client.
type testbed struct {
	*localcluster.Cluster
	client  *client.Client
	workers *fleet
	version uint64 // of the tables in force
}

// newTestbed starts a cluster with the given number of workers and waits until it serves.
func newTestbed(ctx context.Context, o options, workers int) (*testbed, error) {
	cluster, err := localcluster.New(o.bin)
	if err != nil {
		return nil, err
	}
	b := &testbed{Cluster: cluster}
	if err := b.setUp(ctx, workers); err != nil {
		b.stop()
		return nil, err
	}
	return b, nil
}

// setUp starts the daemons, applies the tables and starts the workers.
func (b *testbed) setUp(ctx context.Context, workers int) error {
	if err := b.StartDaemons(localcluster.ThreeLocations); err != nil {
		return err
	}
	c, err := client.New(b.Addresses, client.Options{})
	if err != nil {
		return err
	}
	b.client = c
	if err := localcluster.AwaitServing(ctx, readyTimeout, c, 3, 2); err != nil {
		return err
	}
	if b.version, err = applyTables(ctx, c, 0, 0); err != nil {
		return err
	}
	b.workers, err = startFleet(b.Dir, b.Addresses, workers)
	if err != nil {
		return err
	}
	return localcluster.AwaitWorkers(ctx, readyTimeout, c, workers)
}

func (b *testbed) stop() {
	if b.workers != nil {
		b.workers.stop()
	}
	if b.client != nil {
		b.client.Close()
	}
	b.Stop()
}

// settleDelay is the time between the start of a cluster and its first measurement, so that
// the cost of the start is not measured.
const settleDelay = 3 * time.Second

// measureWorkerCounts measures a new cluster of idle workers for each number of workers.
func measureWorkerCounts(ctx context.Context, o options) error {
	t := newTable("workers, idle", "workers")
	for _, n := range o.workerCounts {
		b, err := newTestbed(ctx, o, n)
		if err != nil {
			return err
		}
		time.Sleep(settleDelay)
		s, err := b.measure(o.window, func() error { time.Sleep(o.window); return nil })
		b.stop()
		if err != nil {
			return err
		}
		t.add(n, s)
	}
	t.print()
	return nil
}

// measureRequestRates measures one cluster, with the first number of workers, at each rate of
// requests.
func measureRequestRates(ctx context.Context, o options, nonIdempotent bool) error {
	title := "requests/s, idempotent"
	if nonIdempotent {
		title = "requests/s, non-idempotent"
	}
	t := newTable(title, "requests/s")
	b, err := newTestbed(ctx, o, o.workerCounts[0])
	if err != nil {
		return err
	}
	defer b.stop()
	time.Sleep(settleDelay)
	for _, rate := range o.requestRates {
		load := &loadGenerator{client: b.client, rate: rate, nonIdempotent: nonIdempotent}
		s, err := b.measure(o.window, func() error { return load.run(ctx, o.window) })
		if err != nil {
			return err
		}
		s.note = load.summary()
		t.add(rate, s)
	}
	t.print()
	return nil
}

// measureTableChanges measures one cluster, with the first number of workers, at each rate of
// table changes.
func measureTableChanges(ctx context.Context, o options) error {
	t := newTable("table changes/s, tables of 100 routes", "changes/s")
	b, err := newTestbed(ctx, o, o.workerCounts[0])
	if err != nil {
		return err
	}
	defer b.stop()
	time.Sleep(settleDelay)
	for _, rate := range o.changeRates {
		s, err := b.measure(o.window, func() error { return b.applyChanges(ctx, rate, o.window) })
		if err != nil {
			return err
		}
		t.add(rate, s)
	}
	t.print()
	return nil
}
