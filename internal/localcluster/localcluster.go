// Package localcluster starts daemons and stand-in workers as separate processes on
// loopback addresses, for the demo and for benchmarks. It is not safe for concurrent use.
package localcluster

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Cluster is a set of processes.
type Cluster struct {
	// BinDir is the folder with the programs oleanderchute and standin-worker.
	BinDir string
	// Dir is the folder for the logs and data folders of the processes.
	Dir string
	// Addresses are the HTTP addresses of the daemons.
	Addresses []string
	// DaemonPIDs are the process IDs of the daemons, in the order of Addresses.
	DaemonPIDs []int
	processes  []*exec.Cmd // in the order in which they were started
}

// Location is the region and failure domain of a VM.
type Location struct{ Region, FailureDomain string }

// ThreeLocations has three failure domains in two regions.
var ThreeLocations = []Location{{"north", "n1"}, {"north", "n2"}, {"south", "s1"}}

// New returns a cluster without processes. Its Dir is a new temporary folder, which Stop
// removes.
func New(binDir string) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "oleanderchute-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Cluster{BinDir: binDir, Dir: dir}, nil
}

// Start starts a program from BinDir and returns its process ID. The output goes to the
// file name.log in Dir.
func (c *Cluster) Start(program, name string, args ...string) (int, error) {
	log, err := os.Create(filepath.Join(c.Dir, name+".log"))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(c.BinDir, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return 0, errors.Wrapf(err, "%s cannot be started; run \"make build\" first", program)
	}
	c.processes = append(c.processes, cmd)
	return cmd.Process.Pid, nil
}

// StartDaemons starts one daemon with a data folder for each location. The first one
// bootstraps the cluster.
func (c *Cluster) StartDaemons(locations []Location) error {
	var peerAddresses, peers []string
	for i := range locations {
		host := fmt.Sprintf("127.0.0.%d", i+1)
		httpAddress, err := freeAddress(host)
		if err != nil {
			return err
		}
		peerAddress, err := freeAddress(host)
		if err != nil {
			return err
		}
		c.Addresses = append(c.Addresses, httpAddress)
		peerAddresses = append(peerAddresses, peerAddress)
		peers = append(peers, fmt.Sprintf("vm%d=%s", i+1, peerAddress))
	}
	for i, location := range locations {
		name := fmt.Sprintf("vm%d", i+1)
		args := []string{
			"serve", "--vm=" + name, "--region=" + location.Region, "--failure-domain=" + location.FailureDomain,
			"--http-address=" + c.Addresses[i], "--peer-address=" + peerAddresses[i], "--peers=" + strings.Join(peers, ","),
			"--data-dir=" + filepath.Join(c.Dir, name), "--drain-timeout=4s",
		}
		if i == 0 {
			args = append(args, "--bootstrap")
		}
		pid, err := c.Start("oleanderchute", name, args...)
		if err != nil {
			return err
		}
		c.DaemonPIDs = append(c.DaemonPIDs, pid)
	}
	return nil
}

// stopTimeout is how long a process may take to exit after SIGTERM before it is killed.
const stopTimeout = 6 * time.Second

// Stop stops the processes in the reverse order of their start, and removes Dir.
func (c *Cluster) Stop() {
	for i := len(c.processes) - 1; i >= 0; i-- {
		cmd := c.processes[i]
		_ = cmd.Process.Signal(syscall.SIGTERM) // the process may have exited already
		timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
		_ = cmd.Wait()
		timer.Stop()
	}
	_ = os.RemoveAll(c.Dir) // leftover temporary files do no harm
}

// freeAddress returns an address with a port that is free at the time of the call; another
// process can take it before it is used.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
