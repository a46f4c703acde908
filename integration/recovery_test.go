package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// changeCount is the number of changes before all daemons are restarted. Section 1.5 of the
// design: processes restart after hundreds of changes.
const changeCount = 500

// Guards against tables that are lost or revert to an older version when all daemons die
// simultaneously, and against a recovery time that grows without limit with the number of changes.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(c)
	operator := cl.operator()
	start := time.Now()
	var propagation []time.Duration
	for n := range changeCount {
		resp, err := operator.Apply(timeoutContext(c, 20*time.Second), api.ApplyRequest{
			ChangeID: fmt.Sprintf("change-%d", n), Operator: "test", BaseVersion: uint64(n), Tables: tables(fmt.Sprintf("route-%d", n)),
		})
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Accepted, qt.IsTrue, qt.Commentf("%+v", resp))
		if n%10 == 0 {
			propagation = append(propagation, awaitVersion(c, cl.vms, resp.Version, propagationLimit))
		}
	}
	c.Logf("%d changes in %s; in force on all VMs after median %s, max %s", changeCount, time.Since(start).Round(pollInterval), quantile(propagation, 0.5), quantile(propagation, 1))
	for _, v := range cl.vms {
		v.kill()
	}
	for _, v := range cl.vms {
		v.start()
	}
	took := cl.awaitFormed(formationTimeout)
	c.Logf("all daemons killed; three serving voters %s after the restart", took.Round(pollInterval))
	for _, v := range cl.vms {
		got, err := v.admin.Tables(timeoutContext(c, callTimeout))
		c.Assert(err, qt.IsNil)
		c.Check(got.Version, qt.Equals, uint64(changeCount), qt.Commentf("%s", v.name))
		c.Check(hasRoute(got, fmt.Sprintf("route-%d", changeCount-1)), qt.IsTrue, qt.Commentf("%s: %+v", v.name, got.Routes))
	}
	resp, err := operator.Apply(timeoutContext(c, 20*time.Second), api.ApplyRequest{ChangeID: "change-7", BaseVersion: 7, Tables: tables("route-7")})
	c.Assert(err, qt.IsNil)
	c.Check(resp.Accepted, qt.IsTrue, qt.Commentf("a change resent after the restart is not recognized: %+v", resp))
	c.Check(resp.Version, qt.Equals, uint64(8))
}

func hasRoute(t api.Tables, name string) bool {
	for _, r := range t.Routes {
		if r.Name == name {
			return true
		}
	}
	return false
}

// quantile returns the q-quantile of the durations, 0 <= q <= 1, rounded to 100 µs.
func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := append([]time.Duration{}, durations...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Round(100 * time.Microsecond)
}

// Guards against the loss of an accepted change or outcome when a VM loses data: its data folder
// is deleted, is restored from an old copy, or has a log whose last record is torn.
func TestLostAndCorruptDataFolders(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(c)
	d := &durabilityChecker{cl: cl, ledger: newRequestLedger(), version: cl.apply(tables(), 0)}
	awaitVersion(c, cl.vms, d.version, propagationLimit)
	cl.startWorkers()
	d.add(10)

	v := cl.vms[1]
	oldIdentity := v.identity()
	v.kill()
	c.Assert(os.RemoveAll(v.dataDir), qt.IsNil)
	d.add(10)
	v.start()
	took := cl.awaitFormed(formationTimeout)
	c.Check(v.identity(), qt.Not(qt.Equals), oldIdentity)
	c.Logf("data folder of %s deleted; voter again %s after its restart", v.name, took.Round(pollInterval))
	d.check()

	d.restoreOldCopy(cl.vms[2])
	d.tearLastRecord(cl.vms[0], tornRecordHeader)
	cl.verifyOutcomes(d.ledger)
}

// tornRecordHeader is what a write that was interrupted within a record's header leaves.
var tornRecordHeader = []byte{0x72, 0x64, 0x6c, 0x6f, 0x10, 0, 0}

// durabilityChecker keeps the accepted tables version and requests, which must survive faults.
type durabilityChecker struct {
	cl           *cluster
	ledger       *requestLedger
	version      uint64
	changedAt    time.Time // when the change to version was accepted
	requestCount int
}

// add applies a change and submits n requests, each of which must be done.
func (d *durabilityChecker) add(n int) {
	d.cl.c.Helper()
	d.version = d.cl.apply(tables(fmt.Sprintf("route-%d", d.requestCount)), d.version)
	d.changedAt = time.Now()
	caller := d.cl.caller(0)
	for range n {
		d.requestCount++
		key := fmt.Sprintf("d%d", d.requestCount)
		r := newRequest("durable", key, kindForIndex(d.requestCount), d.requestCount%3 == 0, program{Answer: key})
		e := d.ledger.add(r, []byte(key))
		st, err := caller.Submit(timeoutContext(d.cl.c, 30*time.Second), r)
		d.cl.c.Assert(err, qt.IsNil)
		d.cl.c.Assert(st.State, qt.Equals, api.StateDone)
		d.ledger.recordResponse(e, st, 0, nil)
	}
}

// check checks the version on every VM that may serve, and the outcome of each request.
func (d *durabilityChecker) check() {
	c := d.cl.c
	c.Helper()
	serving := 0
	for _, v := range d.cl.vms {
		if s, ok := v.selfStatus(); !ok || !s.MayServe {
			continue
		}
		serving++
		d.awaitInForce(v)
	}
	c.Check(serving >= 2, qt.IsTrue, qt.Commentf("%d VMs may serve", serving))
	caller := d.cl.caller(0)
	for key, e := range d.ledger.snapshot() {
		st, err := caller.Outcome(timeoutContext(c, 10*time.Second), key, e.request.Kind, 0)
		c.Check(err, qt.IsNil, qt.Commentf("%s", key))
		c.Check(string(st.Answer), qt.Equals, key.Key)
	}
}

// awaitInForce waits until a VM reads the newest version, which it must at propagationLimit after
// the change at the latest, and checks that the version never goes back meanwhile.
func (d *durabilityChecker) awaitInForce(v *vm) {
	c := d.cl.c
	c.Helper()
	last := uint64(0)
	remaining := max(propagationLimit-time.Since(d.changedAt), 0)
	waitFor(c, fmt.Sprintf("%s reads version %d of the tables", v.name, d.version), remaining, func() bool {
		t, err := v.admin.Tables(timeoutContext(c, 5*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(t.Version >= last, qt.IsTrue, qt.Commentf("%s: version %d after %d", v.name, t.Version, last))
		last = t.Version
		return t.Version == d.version
	})
}

// restoreOldCopy restarts a VM with an old copy of its data folder that lacks later changes. The
// VM must detect that it has lost acknowledged state, and must not vote.
func (d *durabilityChecker) restoreOldCopy(v *vm) {
	c := d.cl.c
	c.Helper()
	v.kill()
	oldCopyDir := filepath.Join(d.cl.dir, "old-copy")
	c.Assert(os.CopyFS(oldCopyDir, os.DirFS(v.dataDir)), qt.IsNil)
	v.start()
	d.cl.awaitFormed(formationTimeout)
	d.add(10)
	v.kill()
	c.Assert(os.RemoveAll(v.dataDir), qt.IsNil)
	c.Assert(os.CopyFS(v.dataDir, os.DirFS(oldCopyDir)), qt.IsNil)
	v.start()
	took := waitFor(c, v.name+" reports lost state", formationTimeout, func() bool {
		s, ok := v.selfStatus()
		return ok && s.Role == "forgot"
	})
	c.Logf("old copy on %s detected %s after its restart", v.name, took.Round(pollInterval))
	d.cl.checkRefusesWork(v)
	d.add(5)
	d.check()
	v.kill()
	c.Assert(os.RemoveAll(v.dataDir), qt.IsNil)
	v.start()
	d.cl.awaitFormed(formationTimeout)
}

// tearLastRecord appends the beginning of a record to each log of a VM, as an interrupted write
// that was never acknowledged leaves it, and expects the VM to become a voter again. It then
// truncates the last record, which was acknowledged: the VM must not vote as if it still had it.
func (d *durabilityChecker) tearLastRecord(v *vm, tail []byte) {
	c := d.cl.c
	c.Helper()
	v.kill()
	for _, name := range v.newestSegments() {
		f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0)
		c.Assert(err, qt.IsNil)
		_, err = f.Write(tail)
		c.Assert(err, qt.IsNil)
		c.Assert(f.Close(), qt.IsNil)
	}
	v.start()
	d.cl.awaitFormed(formationTimeout)
	d.add(5)
	v.kill()
	for _, name := range v.newestSegments() {
		info, err := os.Stat(name)
		c.Assert(err, qt.IsNil)
		c.Assert(os.Truncate(name, info.Size()-3), qt.IsNil)
	}
	d.add(5)
	v.start()
	role := ""
	waitFor(c, v.name+" has a role", formationTimeout, func() bool {
		s, ok := v.selfStatus()
		role = s.Role
		return ok && (role == "forgot" || (s.MayServe && s.TablesVersion == d.version))
	})
	c.Logf("last record on %s truncated: role %s", v.name, role)
	if role == "forgot" {
		d.cl.checkRefusesWork(v)
	}
	d.add(5)
	d.check()
}

// checkRefusesWork checks that a VM that has lost state refuses new work, since its tables may be
// older than those that it had confirmed.
func (cl *cluster) checkRefusesWork(v *vm) {
	cl.c.Helper()
	s, ok := v.selfStatus()
	cl.c.Check(ok && !s.MayServe, qt.IsTrue, qt.Commentf("%+v", s))
	_, err := cl.client(1, v.httpAddress).Submit(timeoutContext(cl.c, 10*time.Second), newRequest("forgot", "k", kindNorth, false, program{}))
	cl.c.Check(err != nil && isNotAccepted(err), qt.IsTrue, qt.Commentf("%v", err))
}

// newestSegments returns the path of the newest log segment of each Raft group.
func (v *vm) newestSegments() []string {
	v.c.Helper()
	newest := map[string]string{}
	names, err := filepath.Glob(filepath.Join(v.dataDir, "*", "log-*.seg"))
	v.c.Assert(err, qt.IsNil)
	for _, name := range names { // Glob sorts the names, and their numbers have a fixed width
		newest[filepath.Dir(name)] = name
	}
	v.c.Assert(newest, qt.HasLen, 3, qt.Commentf("%v", names))
	var out []string
	for _, name := range newest {
		out = append(out, name)
	}
	return out
}

// identity returns the content of the VM's identity file.
func (v *vm) identity() string {
	v.c.Helper()
	data, err := os.ReadFile(filepath.Join(v.dataDir, "identity.json"))
	v.c.Assert(err, qt.IsNil)
	return string(data)
}
