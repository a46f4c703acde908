package main

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

// processes are the programs that the demo started. Their logs go to files in dir.
type processes struct {
	bin, dir string
	running  []*exec.Cmd
}

func (p *processes) start(program, name string, args ...string) error {
	log, err := os.Create(filepath.Join(p.dir, name+".log"))
	if err != nil {
		return errors.WithStack(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(p.bin, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "%s cannot be started; run \"make build\" first", program)
	}
	p.running = append(p.running, cmd)
	return nil
}

// stopTimeout is how long a process may take to end by itself.
const stopTimeout = 5 * time.Second

// stop ends the processes, last started first.
func (p *processes) stop() {
	for i := len(p.running) - 1; i >= 0; i-- {
		cmd := p.running[i]
		_ = cmd.Process.Signal(syscall.SIGTERM) // it may have ended already
		timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
		_ = cmd.Wait()
		timer.Stop()
	}
}

// startDaemons starts three VMs and returns their HTTP addresses.
func startDaemons(procs *processes) ([]string, error) {
	places := []struct{ region, domain string }{{"north", "n1"}, {"north", "n2"}, {"south", "s1"}}
	var web, peer, list []string
	for i := range places {
		host := fmt.Sprintf("127.0.0.%d", i+1)
		web = append(web, freeAddress(host))
		peer = append(peer, freeAddress(host))
		list = append(list, fmt.Sprintf("vm%d=%s", i+1, peer[i]))
	}
	for i, place := range places {
		name := fmt.Sprintf("vm%d", i+1)
		args := []string{
			"serve", "--vm=" + name, "--region=" + place.region, "--failure-domain=" + place.domain,
			"--http-address=" + web[i], "--peer-address=" + peer[i], "--peers=" + strings.Join(list, ","),
			"--data-dir=" + filepath.Join(procs.dir, name), "--drain-timeout=2s",
		}
		if i == 0 {
			args = append(args, "--bootstrap")
		}
		if err := procs.start("oleanderchute", name, args...); err != nil {
			return nil, err
		}
	}
	return web, nil
}

// freeAddress returns an address that was free a moment ago.
func freeAddress(host string) string {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return host + ":0" // refused by the daemon with a clear message
	}
	defer l.Close()
	return l.Addr().String()
}
