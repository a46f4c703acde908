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

// fleet is a set of stand-in workers in this process.
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

// readyBound is how long the cluster may take to form, and hundreds of workers to be ready.
const readyBound = time.Minute

// routesInTable is the size of the tables: 100 teams with a route each.
const routesInTable = 100

// applyTables replaces the tables of a version and returns the new one; the variant
// changes one route.
func applyTables(ctx context.Context, c *client.Client, version uint64, variant int) (uint64, error) {
	next := api.Tables{Pools: []api.Pool{{Name: "drafters", Home: "north"}, {Name: "planners", Home: "south"}}}
	for i := range routesInTable {
		next.Routes = append(next.Routes, api.Route{Name: fmt.Sprintf("kind-%03d", i), Pool: "drafters"})
	}
	next.Routes[variant%routesInTable].Aliases = []string{fmt.Sprintf("alias-%d", variant)}
	answer, err := c.Apply(ctx, api.ApplyRequest{BaseVersion: version, Operator: "capacity", Tables: next})
	if err != nil {
		return 0, err
	}
	if !answer.Accepted {
		return 0, errors.Errorf("change refused: %s %v", answer.Reason, answer.Problems)
	}
	return answer.Version, nil
}

// runChanges applies changes at a fixed rate, as far as one operator can.
func (b *bench) runChanges(ctx context.Context, rate int, window time.Duration) error {
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

// load submits requests at a fixed rate, each by its own goroutine.
type load struct {
	client        *client.Client
	rate          int
	nonIdempotent bool

	mu     sync.Mutex
	took   []time.Duration // guarded by mu
	failed int             // guarded by mu
	first  error           // guarded by mu
}

// taskRun is the run time of each task in milliseconds; it is taken off the measured time.
const taskRun = 20

func (l *load) run(ctx context.Context, window time.Duration) error {
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

func (l *load) submit(ctx context.Context, key string) {
	start := time.Now()
	st, err := l.client.Submit(ctx, api.SubmitRequest{
		Caller: "tenders", Key: key, Kind: "kind-000", Resources: api.Resources{MilliCPU: 1000, MemoryMB: 512},
		NonIdempotent: l.nonIdempotent, WaitMillis: 10_000,
		Body: []byte(fmt.Sprintf(`{"run_ms":%d,"pad":%q}`, taskRun, make([]byte, 40))),
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || st.State != api.StateDone {
		l.failed++
		if l.first == nil {
			l.first = err
		}
		return
	}
	l.took = append(l.took, time.Since(start)-taskRun*time.Millisecond)
}

// summary returns the time that the system added to a request.
func (l *load) summary() string {
	if len(l.took) == 0 {
		return "-"
	}
	sort.Slice(l.took, func(i, j int) bool { return l.took[i] < l.took[j] })
	at := func(q float64) time.Duration {
		return l.took[int(q*float64(len(l.took)-1))].Round(100 * time.Microsecond)
	}
	out := fmt.Sprintf("%d done, %d other, added median %s, p99 %s", len(l.took), l.failed, at(0.5), at(0.99))
	if l.first != nil {
		out += ", first error: " + l.first.Error()
	}
	return out
}
