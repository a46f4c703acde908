package integration

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"
)

// exitTimeout covers the drain timeout of a daemon that was asked to terminate.
const exitTimeout = drainTimeout + 3*time.Second

// process is one program that can be killed, frozen and restarted with the same arguments. It is
// not safe for concurrent use.
type process struct {
	c       *qt.C
	name    string
	program string // name of the executable in programDir
	args    []string
	logPath string

	cmd    *exec.Cmd     // nil while it is not running
	exited chan struct{} // closed when cmd has exited
	err    error         // result of cmd.Wait; valid after exited is closed
}

func newProcess(c *qt.C, dir, program, name string, args []string) *process {
	p := &process{c: c, name: name, program: program, args: args, logPath: filepath.Join(dir, name+".log")}
	c.Cleanup(func() {
		p.kill()
		p.checkLog()
	})
	return p
}

// start starts the process with extraArgs after its usual arguments. The output is appended to
// the log file.
func (p *process) start(extraArgs ...string) {
	p.c.Helper()
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	p.c.Assert(err, qt.IsNil)
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(programDir, p.program), append(append([]string{}, p.args...), extraArgs...)...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	p.c.Assert(cmd.Start(), qt.IsNil)
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		p.err = cmd.Wait()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // the process may have exited already
	}
}

// freeze stops the process with SIGSTOP, which it cannot notice, until resume.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// kill sends SIGKILL, which also ends a frozen process, and waits for the exit.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.cmd = nil
}

// terminate sends SIGTERM and returns without waiting for the exit.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

// awaitExit waits for the exit after terminate and checks the exit status.
func (p *process) awaitExit(timeout time.Duration) {
	p.c.Helper()
	select {
	case <-p.exited:
		p.cmd = nil
		p.c.Check(p.err, qt.IsNil, qt.Commentf("%s exited with an error", p.name))
	case <-time.After(timeout):
		p.c.Fatalf("%s has not exited within %s of SIGTERM", p.name, timeout)
	}
}

var (
	raceMark  = []byte("WARNING: DATA RACE")
	panicMark = []byte("panic: ")
	fatalMark = []byte("fatal error: ")
)

// checkLog fails the test if the process reported a data race, a panic or a fatal runtime error.
func (p *process) checkLog() {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return // never started
	}
	for _, mark := range [][]byte{raceMark, panicMark, fatalMark} {
		if i := bytes.Index(data, mark); i >= 0 {
			p.c.Errorf("log of %s:\n%s", p.name, data[i:min(len(data), i+3000)])
		}
	}
	if p.c.Failed() {
		p.c.Logf("end of the log of %s:\n%s", p.name, data[max(0, len(data)-logTailBytes):])
	}
}

// logTailBytes is how many bytes of the end of each log a failed test prints.
const logTailBytes = 2500

// runConcurrently runs the functions concurrently and waits for all of them.
func runConcurrently(fns ...func()) {
	var wg sync.WaitGroup
	for _, fn := range fns {
		wg.Go(fn)
	}
	wg.Wait()
}
