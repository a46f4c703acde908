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

// saveLoopEnv makes the test binary run saveLoop in the folder that it names.
const saveLoopEnv = "STORAGE_TEST_SAVE_LOOP"

func TestMain(m *testing.M) {
	if dir := os.Getenv(saveLoopEnv); dir != "" {
		saveLoop(dir)
	}
	os.Exit(m.Run())
}

// saveLoop saves entries and snapshots and compacts the log until the process is killed. It
// prints the index of each entry once it is durable.
func saveLoop(dir string) {
	store, recovered, err := OpenDiskStore(dir, "p", Options{SegmentBytes: 1000})
	if err != nil {
		panic(err)
	}
	for next := (storeModel)(recovered).lastIndex() + 1; ; next++ {
		var snap *raft.Snapshot
		if next%16 == 0 {
			snap = &raft.Snapshot{Index: next - 1, Term: 1}
		}
		if err := store.Save(nil, entriesFrom(next, 1, 100), snap); err != nil {
			panic(err)
		}
		fmt.Println(next)
		if err := store.Compact(); err != nil {
			panic(err)
		}
	}
}

// Guards against acknowledged entries that cannot be recovered after the process is
// killed, and against a lock that is not released. Killing the process does not test the
// syncs, because the kernel keeps what was written.
func TestKilledProcessLosesNoAcknowledgedEntry(t *testing.T) {
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
		store, recovered, err := OpenDiskStore(dir, "p", Options{})
		c.Assert(err, qt.IsNil)
		c.Assert(storeModel(recovered).lastIndex() >= uint64(acknowledged), qt.IsTrue)
		c.Assert(store.Close(), qt.IsNil)
	}
	c.Assert(acknowledged >= 200, qt.IsTrue)
}

// Guards against lost entries and data races when a snapshot and entries are saved
// concurrently.
func TestConcurrentSnapshotsAndEntries(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	store, _, err := OpenDiskStore(dir, "p", Options{SegmentBytes: 2000})
	c.Assert(err, qt.IsNil)
	const n = 300
	durable := make(chan uint64, n)
	var wg sync.WaitGroup
	wg.Go(func() {
		for index := range durable {
			if index%20 != 0 {
				continue
			}
			if err := store.Save(nil, nil, &raft.Snapshot{Index: index, Term: 1}); err != nil {
				panic(err)
			}
			if err := store.Compact(); err != nil {
				panic(err)
			}
		}
	})
	for i := range uint64(n) {
		c.Assert(store.Save(&raft.HardState{Term: 1, Commit: i}, entriesFrom(i+1, 1, 50), nil), qt.IsNil)
		durable <- i + 1
	}
	close(durable)
	wg.Wait()
	c.Assert(store.Close(), qt.IsNil)
	_, recovered, err := OpenDiskStore(dir, "p", Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(recovered.Snapshot.Index, qt.Equals, uint64(n))
	c.Assert(storeModel(recovered).lastIndex(), qt.Equals, uint64(n))
}
