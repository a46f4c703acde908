// Package integration tests the programs as separate processes whose connections pass through
// fault-injecting proxies in the test process.
package integration

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programDir is the folder with the built programs.
var programDir string

// maxParallelTests is the number of tests, each with its own cluster, that run in parallel. More
// would delay the clusters' heartbeats on a machine with few free cores.
const maxParallelTests = "2"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", maxParallelTests); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs, runs the tests and returns the exit code.
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

// build compiles both programs, with the race detector if the tests use it.
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
