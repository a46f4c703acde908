// Package integration tests the programs as separate processes whose connections go
// through a fault-injecting proxy inside the test process.
package integration

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programs is the folder with the built programs.
var programDir string

// clustersAtOnce is how many parallel tests run at once. More would delay the heartbeats
// of a cluster on a machine with few free cores.
const maxParallelTests = "2"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", maxParallelTests); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "oleander-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programDir = dir
	if err := build(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// build compiles both programs, with the race detector if the tests have it.
func build() error {
	args := []string{"build", "-o", programDir + string(filepath.Separator)}
	if raceEnabled {
		args = append(args, "-race")
	}
	args = append(args, "../cmd/oleanderchute", "../cmd/standin-worker")
	cmd := exec.Command("go", args...)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	return cmd.Run()
}
