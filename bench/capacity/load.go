package main

import (
	"context"
	"fmt"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
	"github.com/oleanderchute/oleanderchute/standin"
)

// fleet is the stand-in workers in this process.
type fleet struct{ workers []*standin.Worker }

func startFleet(dir string, entries []string, n int) (*fleet, error) {
	f := &fleet{}
	var urls []string
	for _, e := range entries {
		urls = append(urls, "http://"+e)
	}
	for i := range n {
		name := fmt.Sprintf("w%04d", i)
		w, err := standin.Start(standin.Config{
			Worker: name, Pool: "drafters", Rack: fmt.Sprintf("r%d", i/8), FailureDomain: "n1", Region: "north",
			Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 65536}, Slots: 8, Connections: 64,
			Entries: urls, Journal: filepath.Join(dir, name+".journal"), Log: zap.NewNop(),
		})
		if err != nil {
			f.stop()
			return nil, err
		}
		f.workers = append(f.workers, w)
	}
	return f, nil
}

func (f *fleet) stop() {
	for _, w := range f.workers {
		w.Close()
	}
}

// readyTimeout bounds the time until the cluster has formed, and the time until hundreds of
// workers are ready.
const readyTimeout = time.Minute

// routeCount is the number of routes in the tables: 100 teams with one route each.
const routeCount = 100

// applyTables replaces the tables of the given version and returns the new version. Each
// variant gives an alias of its own to one route.
func applyTables(ctx context.Context, c *client.Client, version uint64, variant int) (uint64, error) {
	next := api.Tables{Pools: []api.Pool{{Name: "drafters", Home: "north"}, {Name: "planners", Home: "south"}}}
	for i := range routeCount {
		next.Routes = append(next.Routes, api.Route{Name: fmt.Sprintf("kind-%03d", i), Pool: "drafters"})
	}
	next.Routes[variant%routeCount].Aliases = []string{fmt.Sprintf("alias-%d", variant)}
	response, err := c.Apply(ctx, api.ApplyRequest{BaseVersion: version, Operator: "capacity", Tables: next})
	if err != nil {
		return 0, err
	}
	if !response.Accepted {
		return 0, errors.Errorf("change refused: %s %v", response.Reason, response.Problems)
	}
	return response.Version, nil
}

// applyChanges applies table changes one after another, at the given rate per second or, if a
// change takes longer than that allows, more slowly.
func (b *testbed) applyChanges(ctx context.Context, rate int, window time.Duration) error {
	end := time.Now().Add(window)
	if rate == 0 {
		time.Sleep(window)
		return nil
	}
	for i := 1; time.Now().Before(end); i++ {
		next := time.Now().Add(time.Second / time.Duration(rate))
		version, err := applyTables(ctx, b.client, b.version, i)
		if err != nil {
			return err
		}
		b.version = version
		time.Sleep(time.Until(next))
	}
	return nil
}

// loadGenerator submits requests at a fixed rate, each in its own goroutine.
type loadGenerator struct {
	client        *client.Client
	rate          int // requests per second
	nonIdempotent bool

	mu             sync.Mutex
	addedLatencies []time.Duration // guarded by mu
	notDone        int             // guarded by mu
	firstError     error           // guarded by mu
}

// taskRunMillis is the run time of each task in milliseconds. It is subtracted from the
// measured latencies.
const taskRunMillis = 20

func (l *loadGenerator) run(ctx context.Context, window time.Duration) error {
	if l.rate == 0 {
		time.Sleep(window)
		return nil
	}
	var wg sync.WaitGroup
	start := time.Now()
	total := int(window.Seconds() * float64(l.rate))
	for i := range total {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(l.rate))))
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.submit(ctx, fmt.Sprintf("k-%t-%d-%d", l.nonIdempotent, l.rate, i))
		}()
	}
	wg.Wait()
	return nil
}

func (l *loadGenerator) submit(ctx context.Context, key string) {
	start := time.Now()
	st, err := l.client.Submit(ctx, api.SubmitRequest{
		Caller: "tenders", Key: key, Kind: "kind-000", Resources: api.Resources{MilliCPU: 1000, MemoryMB: 512},
		NonIdempotent: l.nonIdempotent, WaitMillis: 10_000,
		Body: []byte(fmt.Sprintf(`{"run_ms":%d,"pad":%q}`, taskRunMillis, make([]byte, 40))),
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || st.State != api.StateDone {
		l.notDone++
		if l.firstError == nil {
			l.firstError = err
		}
		return
	}
	l.addedLatencies = append(l.addedLatencies, time.Since(start)-taskRunMillis*time.Millisecond)
}

// summary describes the number of requests by result, the time that the system added to the
// run time of a request, and the first error. It is "-" if no request is done.
func (l *loadGenerator) summary() string {
	if len(l.addedLatencies) == 0 {
		return "-"
	}
	sort.Slice(l.addedLatencies, func(i, j int) bool { return l.addedLatencies[i] < l.addedLatencies[j] })
	quantile := func(q float64) time.Duration {
		return l.addedLatencies[int(q*float64(len(l.addedLatencies)-1))].Round(100 * time.Microsecond)
	}
	out := fmt.Sprintf("%d done, %d other, added median %s, p99 %s", len(l.addedLatencies), l.notDone, quantile(0.5), quantile(0.99))
	if l.firstError != nil {
		out += ", first error: " + l.firstError.Error()
	}
	return out
}
