// Package localcluster starts daemons and stand-in workers as separate processes on
// loopback, for the demo and for measurements. It is not safe for concurrent use.
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

// Cluster is a set of processes. Their logs and data folders are in Dir.
type Cluster struct {
	// Bin is the folder with the programs oleanderchute and standin-worker.
	BinDir string
	Dir    string
	// Addresses are the HTTP addresses of the daemons.
	Addresses []string
	// Daemons are the process ids of the daemons, in the order of Addresses.
	DaemonPIDs []int
	running    []*exec.Cmd
}

// Place is where a VM stands.
type Location struct{ Region, FailureDomain string }

// ThreePlaces are three failure domains in two regions.
var ThreeLocations = []Location{{"north", "n1"}, {"north", "n2"}, {"south", "s1"}}

// New returns a cluster without processes in a new temporary folder. Stop removes it.
func New(bin string) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "oleanderchute-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Cluster{BinDir: bin, Dir: dir}, nil
}

// Start runs one of the programs with its output in a log file called name.
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
	c.running = append(c.running, cmd)
	return cmd.Process.Pid, nil
}

// StartDaemons starts one VM a place, all with a disk; the first creates the cluster.
func (c *Cluster) StartDaemons(places []Location) error {
	var peer, list []string
	for i := range places {
		host := fmt.Sprintf("127.0.0.%d", i+1)
		web, err := freeAddress(host)
		if err != nil {
			return err
		}
		address, err := freeAddress(host)
		if err != nil {
			return err
		}
		c.Addresses = append(c.Addresses, web)
		peer = append(peer, address)
		list = append(list, fmt.Sprintf("vm%d=%s", i+1, address))
	}
	for i, place := range places {
		name := fmt.Sprintf("vm%d", i+1)
		args := []string{
			"serve", "--vm=" + name, "--region=" + place.Region, "--failure-domain=" + place.FailureDomain,
			"--http-address=" + c.Addresses[i], "--peer-address=" + peer[i], "--peers=" + strings.Join(list, ","),
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

// stopTimeout is how long a process may take to end by itself.
const stopTimeout = 6 * time.Second

// Stop ends the processes, last started first, and removes the folder.
func (c *Cluster) Stop() {
	for i := len(c.running) - 1; i >= 0; i-- {
		cmd := c.running[i]
		_ = cmd.Process.Signal(syscall.SIGTERM) // it may have ended already
		timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
		_ = cmd.Wait()
		timer.Stop()
	}
	_ = os.RemoveAll(c.Dir) // a leftover in the temporary folder does no harm
}

// freeAddress returns an address that was free a moment ago.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}
