package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
)

// The targets are those of the design document.
const (
	// minRetainedShare is the least number of requests of other teams that are done during a
	// flood, as a fraction of those done in the steady phase.
	minRetainedShare = 0.95
	// maxUrgentWait is the longest wait of urgent requests of other teams.
	maxUrgentWait = 2200 * time.Millisecond
)

// phase is the measurements of one phase.
type phase struct {
	name         string
	results      []result
	skipped      map[bool]int  // see recorder
	ownerCPUTime time.Duration // processor time of the owner of partition north
	elapsed      time.Duration
	// epochs are those of the owner at the start and the end. After a change of the epoch no
	// task starts for 1 to 2 s.
	epochs [2]uint64
}

// measure runs the three phases, prints them and returns a message for each missed target.
func (b *testbed) measure(ctx context.Context) ([]string, error) {
	plan := []struct {
		name  string
		flood []stream
	}{
		{"steady", nil},
		{"low flood", []stream{b.floodStream(api.ClassLow)}},
		{"urgent flood", []stream{b.floodStream(api.ClassUrgent)}},
	}
	var phases []phase
	for i, p := range plan {
		ph, err := b.runPhase(ctx, fmt.Sprintf("p%d", i), append(b.steadyStreams(), p.flood...))
		if err != nil {
			return nil, err
		}
		ph.name = p.name
		phases = append(phases, ph)
	}
	missedTargets := printPhases(phases)
	outcomeFailures, err := b.checkOutcomes(phases)
	return append(missedTargets, outcomeFailures...), err
}

// runPhase submits the streams for one window and waits for their outcomes. The prefix makes
// the keys of the phase unique.
func (b *testbed) runPhase(ctx context.Context, prefix string, streams []stream) (phase, error) {
	ownerPID, firstEpoch, err := b.ownerProcess(ctx)
	if err != nil {
		return phase{}, err
	}
	before, err := processCPUTime(ownerPID)
	if err != nil {
		return phase{}, err
	}
	start := time.Now()
	rec := b.runStreams(ctx, prefix, streams)
	elapsed := time.Since(start)
	after, err := processCPUTime(ownerPID)
	if err != nil {
		return phase{}, err
	}
	b.resolvePending(ctx, rec.results)
	_, lastEpoch, err := b.ownerProcess(ctx)
	return phase{
		results: rec.results, skipped: rec.skipped, ownerCPUTime: after - before, elapsed: elapsed, epochs: [2]uint64{firstEpoch, lastEpoch},
	}, err
}

// ownerProcess returns the process id and the epoch of the owner of partition north, where the
// workers are.
func (b *testbed) ownerProcess(ctx context.Context) (int, uint64, error) {
	st, err := b.operatorClient.Status(ctx)
	if err != nil {
		return 0, 0, err
	}
	for _, p := range st.Partitions {
		n, err := strconv.Atoi(strings.TrimPrefix(p.Leader, "vm"))
		if p.Partition == "north" && err == nil {
			return b.DaemonPIDs[n-1], p.Epoch, nil
		}
	}
	return 0, 0, errors.New("partition north has no owner")
}

// clockTicks is the number of ticks per second in which /proc on Linux counts processor time.
const clockTicks = 100

// processCPUTime returns the processor time that a process has used since its start.
func processCPUTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	// The program's name in parentheses is the second field and may contain spaces. The
	// fields after it start with the third.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+2:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks, errors.WithStack(err)
}

// phaseStats are the figures of one phase. "Other" requests are those of teams that do not
// flood. Waits are those of completed requests, from acceptance to the first dispatch. The
// latency of a refusal is that of the whole call.
type phaseStats struct {
	otherDone, otherScheduled    int // otherScheduled includes skipped requests
	otherWaits, urgentOtherWaits []time.Duration
	urgentNotDone                int // of other teams
	floodDone, floodSent         int
	refusalLatencies             []time.Duration // of all teams
	otherRefused                 int
	// byStream counts the outcomes that the callers of each team and class know. Refusals by
	// the entry VM itself (not_run false) are counted apart from those by the owner.
	byStream map[string]map[string]int
}

func (p *phase) stats() phaseStats {
	s := phaseStats{otherScheduled: p.skipped[false], byStream: map[string]map[string]int{}}
	for _, r := range p.results {
		s.countOutcome(r)
		if isRefused(r.err) {
			s.refusalLatencies = append(s.refusalLatencies, r.latency)
		}
		if r.stream.flood {
			s.addFlood(r)
		} else {
			s.addOther(r)
		}
	}
	return s
}

func (s *phaseStats) countOutcome(r result) {
	name := r.stream.team + " " + string(r.stream.class)
	if s.byStream[name] == nil {
		s.byStream[name] = map[string]int{}
	}
	outcome := r.outcome()
	if isRefused(r.err) && !r.err.NotRun {
		outcome = "refused at entry"
	}
	s.byStream[name][outcome]++
}

func (s *phaseStats) addFlood(r result) {
	s.floodSent++
	if r.status.State == api.StateDone {
		s.floodDone++
	}
}

func (s *phaseStats) addOther(r result) {
	s.otherScheduled++
	urgent := r.stream.class == api.ClassUrgent
	if isRefused(r.err) {
		s.otherRefused++
	}
	if r.status.State != api.StateDone {
		if urgent {
			s.urgentNotDone++
		}
		return
	}
	s.otherDone++
	wait := time.Duration(r.status.WaitedMillis) * time.Millisecond
	s.otherWaits = append(s.otherWaits, wait)
	if urgent {
		s.urgentOtherWaits = append(s.urgentOtherWaits, wait)
	}
}

// printPhases prints a table of the phases and the outcomes of each, and returns a message for
// each missed target. The first phase is the one without a flood.
func printPhases(phases []phase) []string {
	var missedTargets []string
	steady := phases[0].stats()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "phase\tothers done/due\tkept\tmedian\tp99\turgent p99\tmax\turgent not done\trefused (others)\tmedian time\tflood done/sent\tflood unsent\towner cpu %\tepochs\t")
	for _, p := range phases {
		stats := p.stats()
		retained := float64(stats.otherDone) / float64(max(steady.otherDone, 1))
		fmt.Fprintf(w, "%s\t%d/%d\t%.3f\t%v\t%v\t%v\t%v\t%d\t%d (%d)\t%v\t%d/%d\t%d\t%.0f\t%v\t\n", p.name, stats.otherDone, stats.otherScheduled, retained,
			quantile(stats.otherWaits, 0.5), quantile(stats.otherWaits, 0.99), quantile(stats.urgentOtherWaits, 0.99), quantile(stats.urgentOtherWaits, 1), stats.urgentNotDone,
			len(stats.refusalLatencies), stats.otherRefused, quantile(stats.refusalLatencies, 0.5).Round(10*time.Microsecond), stats.floodDone, stats.floodSent, p.skipped[true],
			100*p.ownerCPUTime.Seconds()/p.elapsed.Seconds(), p.epochs)
		missedTargets = append(missedTargets, stats.missedTargets(p.name, retained)...)
	}
	w.Flush()
	for _, p := range phases {
		done := 0
		for _, r := range p.results {
			if r.status.State == api.StateDone {
				done++
			}
		}
		fmt.Printf("%s: %d done in all: %v\n", p.name, done, p.stats().byStream)
	}
	return missedTargets
}

// missedTargets compares one phase with the targets and returns a message for each that it
// misses. retained is the fraction of other work that is done, see minRetainedShare.
func (s *phaseStats) missedTargets(name string, retained float64) []string {
	var out []string
	if retained < minRetainedShare {
		out = append(out, fmt.Sprintf("%s: other work retains %.3f, want at least %.2f", name, retained, minRetainedShare))
	}
	if worst := quantile(s.urgentOtherWaits, 1); worst > maxUrgentWait {
		out = append(out, fmt.Sprintf("%s: urgent work of other teams waits up to %v, want at most %v", name, worst, maxUrgentWait))
	}
	if s.urgentNotDone > 0 {
		out = append(out, fmt.Sprintf("%s: %d urgent requests of other teams were not done", name, s.urgentNotDone))
	}
	return out
}

// quantile returns the q-quantile, or 0 without values. It sorts the values.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[int(q*float64(len(values)-1))]
}
