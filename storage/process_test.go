package storage

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/raft"
)

const saveLoopEnv = "STORAGE_TEST_SAVE_LOOP"

func TestMain(m *testing.M) {
	if dir := os.Getenv(saveLoopEnv); dir != "" {
		saveLoop(dir)
	}
	os.Exit(m.Run())
}

// saveLoop saves entries, snapshots and compactions until the process is killed, and
// prints each index that is durable.
func saveLoop(dir string) {
	g, rec, err := OpenDiskStore(dir, "p", Options{SegmentBytes: 1000})
	if err != nil {
		panic(err)
	}
	for next := (groupModel)(rec).last() + 1; ; next++ {
		var snap *raft.Snapshot
		if next%16 == 0 {
			snap = &raft.Snapshot{Index: next - 1, Term: 1}
		}
		if err := g.Save(nil, entriesFrom(next, 1, 100), snap); err != nil {
			panic(err)
		}
		fmt.Println(next)
		if err := g.Compact(); err != nil {
			panic(err)
		}
	}
}

// Guards against acknowledged entries that a killed process leaves behind unreadable,
// and against a lock that outlives its process. A kill does not test the syncs, since
// the kernel keeps what was written.
func TestKilledProcess(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	acknowledged := 0
	for range 5 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), saveLoopEnv+"="+dir)
		out, err := cmd.StdoutPipe()
		c.Assert(err, qt.IsNil)
		c.Assert(cmd.Start(), qt.IsNil)
		lines := bufio.NewScanner(out)
		for n := 0; n < 40 && lines.Scan(); n++ {
			acknowledged, err = strconv.Atoi(lines.Text())
			c.Assert(err, qt.IsNil)
		}
		_, _, err = OpenDiskStore(dir, "p", Options{})
		c.Assert(err, qt.ErrorIs, ErrLocked)
		c.Assert(cmd.Process.Kill(), qt.IsNil)
		c.Assert(cmd.Wait(), qt.IsNotNil)
		g, rec, err := OpenDiskStore(dir, "p", Options{})
		c.Assert(err, qt.IsNil)
		c.Assert(groupModel(rec).last() >= uint64(acknowledged), qt.IsTrue)
		c.Assert(g.Close(), qt.IsNil)
	}
	c.Assert(acknowledged >= 200, qt.IsTrue)
}

// Guards against a snapshot saved beside entries that loses entries or races.
func TestSnapshotsBesideEntries(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	g, _, err := OpenDiskStore(dir, "p", Options{SegmentBytes: 2000})
	c.Assert(err, qt.IsNil)
	const n = 300
	durable := make(chan uint64, n)
	var wg sync.WaitGroup
	wg.Go(func() {
		for index := range durable {
			if index%20 != 0 {
				continue
			}
			if err := g.Save(nil, nil, &raft.Snapshot{Index: index, Term: 1}); err != nil {
				panic(err)
			}
			if err := g.Compact(); err != nil {
				panic(err)
			}
		}
	})
	for i := range uint64(n) {
		c.Assert(g.Save(&raft.HardState{Term: 1, Commit: i}, entriesFrom(i+1, 1, 50), nil), qt.IsNil)
		durable <- i + 1
	}
	close(durable)
	wg.Wait()
	c.Assert(g.Close(), qt.IsNil)
	_, rec, err := OpenDiskStore(dir, "p", Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(rec.Snapshot.Index, qt.Equals, uint64(n))
	c.Assert(groupModel(rec).last(), qt.Equals, uint64(n))
}
