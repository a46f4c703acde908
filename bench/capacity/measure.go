package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// usage is the resource usage of one process.
type usage struct {
	cpu     time.Duration      // since its start
	rssMB   float64            // current
	traffic map[string]float64 // bytes since its start by metric name with labels; only of daemons
}

// sample is the resource usage of the daemons in one window: that of the owner of partition
// north, where the workers are, and the mean of the others.
type sample struct {
	owner, other vmUsage
	// benchCPUPercent is the processor time of this process in percent of a core: that of
	// the stand-in workers and, in series with requests, of the caller.
	benchCPUPercent float64
	note            string // printed below the table
}

// vmUsage is the resource usage of one VM in a window. The traffic counts both directions, in
// units of 1000 bytes.
type vmUsage struct {
	cpuPercent        float64 // of one core
	rssMB             float64 // at the end of the window
	workerKBPerSecond float64
	peerKBPerSecond   float64
	httpKBPerSecond   float64
}

// measure runs work and returns the resource usage of the daemons during that time. The window is
// not used: the rates are those over the time that work takes.
func (b *testbed) measure(window time.Duration, work func() error) (sample, error) {
	owner, err := b.ownerIndex()
	if err != nil {
		return sample{}, err
	}
	before, err := b.readDaemonUsages()
	if err != nil {
		return sample{}, err
	}
	selfBefore, err := readProcessUsage(os.Getpid())
	if err != nil {
		return sample{}, err
	}
	start := time.Now()
	if err := work(); err != nil {
		return sample{}, err
	}
	elapsed := time.Since(start).Seconds()
	after, err := b.readDaemonUsages()
	if err != nil {
		return sample{}, err
	}
	selfAfter, err := readProcessUsage(os.Getpid())
	if err != nil {
		return sample{}, err
	}
	s := sample{benchCPUPercent: 100 * (selfAfter.cpu - selfBefore.cpu).Seconds() / elapsed}
	for i := range after {
		rates := usageBetween(before[i], after[i], elapsed)
		if i == owner {
			s.owner = rates
		} else {
			s.other = s.other.addWeighted(rates, 1/float64(len(after)-1))
		}
	}
	return s, nil
}

// ownerIndex returns the index of the daemon that owns partition north.
func (b *testbed) ownerIndex() (int, error) {
	st, err := b.client.Status(context.Background())
	if err != nil {
		return 0, err
	}
	for _, p := range st.Partitions {
		if p.Partition == "north" && strings.HasPrefix(p.Leader, "vm") {
			n, err := strconv.Atoi(strings.TrimPrefix(p.Leader, "vm"))
			return n - 1, errors.WithStack(err)
		}
	}
	return 0, errors.New("partition north has no owner")
}

// readDaemonUsages returns the resource usage of each daemon.
func (b *testbed) readDaemonUsages() ([]usage, error) {
	var out []usage
	for i, pid := range b.DaemonPIDs {
		u, err := readProcessUsage(pid)
		if err != nil {
			return nil, err
		}
		if u.traffic, err = readTraffic(b.Addresses[i]); err != nil {
			return nil, err
		}
		out = append(out, u)
	}
	return out, nil
}

// clockTicks is the number of ticks per second in which /proc on Linux counts processor time.
const clockTicks = 100

// readProcessUsage reads the processor time and resident memory of a process from /proc.
func readProcessUsage(pid int) (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, errors.WithStack(err)
	}
	// The program's name in parentheses is the second field and may contain spaces. The
	// fields after it start with the third.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{
		cpu:   time.Duration(user+system) * time.Second / clockTicks,
		rssMB: float64(pages) * float64(os.Getpagesize()) / (1 << 20),
	}, nil
}

// readTraffic reads the byte counters of a daemon from its metrics.
func readTraffic(address string) (map[string]float64, error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	out := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if strings.HasPrefix(name, "oleander_bytes_total") {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return nil, errors.WithStack(err)
			}
			out[name] = n
		}
	}
	return out, errors.WithStack(lines.Err())
}

// usageBetween returns the usage between two readings that are the given number of seconds
// apart.
func usageBetween(before, after usage, seconds float64) vmUsage {
	kb := func(link string) float64 {
		total := 0.0
		for name, n := range after.traffic {
			if strings.Contains(name, `link="`+link+`"`) {
				total += n - before.traffic[name]
			}
		}
		return total / 1000 / seconds
	}
	return vmUsage{
		cpuPercent: 100 * (after.cpu - before.cpu).Seconds() / seconds, rssMB: after.rssMB,
		workerKBPerSecond: kb("worker"), peerKBPerSecond: kb("peer"), httpKBPerSecond: kb("http"),
	}
}

// addWeighted returns u plus v multiplied by weight.
func (u vmUsage) addWeighted(v vmUsage, weight float64) vmUsage {
	return vmUsage{
		u.cpuPercent + weight*v.cpuPercent, u.rssMB + weight*v.rssMB,
		u.workerKBPerSecond + weight*v.workerKBPerSecond, u.peerKBPerSecond + weight*v.peerKBPerSecond, u.httpKBPerSecond + weight*v.httpKBPerSecond,
	}
}

// columns returns the values in the order of the printed columns.
func (u vmUsage) columns() []float64 {
	return []float64{u.cpuPercent, u.rssMB, u.workerKBPerSecond, u.peerKBPerSecond, u.httpKBPerSecond}
}

// table collects the samples of one series and prints them.
type table struct {
	title, unit string   // unit is that of sizes
	sizes       []int    // what varies in the series: a number or a rate
	samples     []sample // by index in sizes
}

func newTable(title, unit string) *table { return &table{title: title, unit: unit} }

func (t *table) add(size int, s sample) {
	t.sizes = append(t.sizes, size)
	t.samples = append(t.samples, s)
}

func (t *table) print() {
	fmt.Printf("\n%s\n", t.title)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\trole\tcpu %% of a core\trss MB\tKB/s workers\tKB/s peers\tKB/s http\t\n", t.unit)
	for i, s := range t.samples {
		printRow(w, fmt.Sprint(t.sizes[i]), "owner", s.owner.columns())
		printRow(w, "", "other", s.other.columns())
	}
	printRow(w, "slope", "owner", t.slopes(func(s sample) vmUsage { return s.owner }))
	printRow(w, "per "+t.unit, "other", t.slopes(func(s sample) vmUsage { return s.other }))
	w.Flush()
	for i, s := range t.samples {
		fmt.Printf("  %d: stand-ins and caller used %.1f%% of a core %s\n", t.sizes[i], s.benchCPUPercent, s.note)
	}
}

func printRow(w *tabwriter.Writer, size, role string, columns []float64) {
	fmt.Fprintf(w, "%s\t%s", size, role)
	for _, c := range columns {
		fmt.Fprintf(w, "\t%.4g", c)
	}
	fmt.Fprintln(w, "\t")
}

// slopes returns the slope of each column over the sizes, from a least-squares fit of a line.
func (t *table) slopes(usageOf func(sample) vmUsage) []float64 {
	out := make([]float64, len(vmUsage{}.columns()))
	for c := range out {
		var n, sx, sy, sxx, sxy float64
		for i, size := range t.sizes {
			x, y := float64(size), usageOf(t.samples[i]).columns()[c]
			n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
		}
		out[c] = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	}
	return out
}
