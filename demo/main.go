// Command demo runs a small cluster of separate processes on the loopback interface: three
// daemons in three failure domains and two regions, four stand-in workers and one caller. It
// prints each request with its outcome and the problems that the cluster reports for
// misspelled names, and exits.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
	"github.com/oleanderchute/oleanderchute/internal/localcluster"
)

// demoTimeout bounds the whole run.
const demoTimeout = 55 * time.Second

func main() {
	bin := flag.String("bin", "bin", "folder with the programs oleanderchute and standin-worker")
	flag.Parse()
	// Without this, a closed pipe, as in "make demo | head", would end the process before it
	// has stopped the processes that it started.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := run(ctx, *bin); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, bin string) error {
	cluster, err := localcluster.New(bin)
	if err != nil {
		return err
	}
	defer cluster.Stop()
	if err := cluster.StartDaemons(localcluster.ThreeLocations); err != nil {
		return err
	}
	c, err := client.New(cluster.Addresses, client.Options{})
	if err != nil {
		return err
	}
	defer c.Close()
	fmt.Println("three daemons started; waiting for the cluster to form")
	if err := localcluster.AwaitServing(ctx, demoTimeout, c, 3, 2); err != nil {
		return err
	}
	if err := applyTables(ctx, c); err != nil {
		return err
	}
	if err := startWorkers(cluster); err != nil {
		return err
	}
	if err := localcluster.AwaitWorkers(ctx, demoTimeout, c, 3); err != nil {
		return err
	}
	printRequests(ctx, c)
	return printProblems(ctx, c)
}

// applyTables applies tables with two routes, one of them with an alias, and two pools.
func applyTables(ctx context.Context, c *client.Client) error {
	tables := api.Tables{
		Routes: []api.Route{
			{Name: "draft-guarantee", Pool: "drafters", Aliases: []string{"draft-garantee"}},
			{Name: "timing-plan", Pool: "planners"},
		},
		Pools: []api.Pool{{Name: "drafters", Home: "north"}, {Name: "planners", Home: "south"}},
	}
	response, err := c.Apply(ctx, api.ApplyRequest{Operator: "demo", Tables: tables})
	if err != nil {
		return err
	}
	if !response.Accepted {
		return errors.Errorf("the tables were refused: %s %v", response.Reason, response.Problems)
	}
	fmt.Printf("tables version %d accepted\n", response.Version)
	return nil
}

// misspelledWorker is the name of the worker that announces a pool that does not exist.
const misspelledWorker = "w4"

// requests returns requests that show the outcomes that a caller may see.
func requests() []api.SubmitRequest {
	resources := api.Resources{MilliCPU: 1000, MemoryMB: 512}
	newRequest := func(key, kind, body string) api.SubmitRequest {
		return api.SubmitRequest{Caller: "tenders", Key: key, Kind: kind, Resources: resources, Body: []byte(body), WaitMillis: 5000}
	}
	nonIdempotent := newRequest("g-2", "draft-guarantee", `{"run_ms":100,"answer":"guarantee 2"}`)
	nonIdempotent.NonIdempotent = true
	oversized := newRequest("g-5", "draft-guarantee", "")
	oversized.Resources.MilliCPU = 500_000
	return []api.SubmitRequest{
		newRequest("g-1", "draft-guarantee", `{"run_ms":100,"answer":"draft 1"}`),
		nonIdempotent,
		nonIdempotent, // sent again: joins the first execution
		newRequest("g-3", "draft-garantee", `{"answer":"draft 3, by an accepted alias"}`),
		newRequest("p-1", "timing-plan", `{"run_ms":50,"answer":"plan 1"}`),
		newRequest("p-2", "timing-plan", `{"fail":true}`),
		newRequest("g-4", "draft-guarante", ""),
		oversized,
		newRequest("g-1", "draft-guarantee", `{"answer":"another body"}`),
	}
}

// printRequests submits the requests one after another and prints their outcomes.
func printRequests(ctx context.Context, c *client.Client) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nKEY\tKIND\tOUTCOME\tWORKER\tTIME\tANSWER OR REASON")
	for _, r := range requests() {
		start := time.Now()
		st, err := c.Submit(ctx, r)
		elapsed := time.Since(start).Round(time.Millisecond)
		if err != nil {
			fmt.Fprintf(w, "%s\t%s\trefused\t-\t%s\t%v\n", r.Key, r.Kind, elapsed, err)
			continue
		}
		text := string(st.Answer)
		if st.State != api.StateDone {
			text = st.Reason
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", r.Key, r.Kind, st.State, st.Worker, elapsed, text)
	}
	w.Flush()
}

// printProblems prints the problems that the cluster reports.
func printProblems(ctx context.Context, c *client.Client) error {
	problems, err := c.Problems(ctx)
	if err != nil {
		return err
	}
	fmt.Println("\nproblems:")
	for _, p := range problems {
		fmt.Printf("  %s %q: %s\n    %s\n", p.Kind, p.Subject, p.Message, p.Remedy)
	}
	return nil
}

// startWorkers starts three workers of the pools in the tables and misspelledWorker.
func startWorkers(cluster *localcluster.Cluster) error {
	workers := []struct{ name, pool, region, domain string }{
		{"w1", "drafters", "north", "n1"},
		{"w2", "drafters", "north", "n2"},
		{"w3", "planners", "south", "s1"},
		{misspelledWorker, "planers", "south", "s1"},
	}
	for _, w := range workers {
		args := []string{
			"--worker=" + w.name, "--pool=" + w.pool, "--region=" + w.region, "--failure-domain=" + w.domain,
			"--rack=r1", "--journal=" + filepath.Join(cluster.Dir, w.name+".journal"),
		}
		for _, a := range cluster.Addresses {
			args = append(args, "--entry=http://"+a)
		}
		if _, err := cluster.Start("standin-worker", w.name, args...); err != nil {
			return err
		}
	}
	return nil
}
