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

// endBound covers the drain timeout of a daemon that is asked to end.
const exitTimeout = drainTimeout + 3*time.Second

// process is one program that can be ended, frozen and started again with the same
// arguments. Its methods are called by one goroutine at a time.
type process struct {
	c       *qt.C
	name    string
	program string
	args    []string
	logPath string

	cmd    *exec.Cmd     // nil while it is not running
	exited chan struct{} // closed when cmd has ended
	err    error         // of cmd, valid after exited is closed
}

func newProcess(c *qt.C, dir, program, name string, args []string) *process {
	p := &process{c: c, name: name, program: program, args: args, logPath: filepath.Join(dir, name+".log")}
	c.Cleanup(func() {
		p.kill()
		p.checkLog()
	})
	return p
}

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
		_ = p.cmd.Process.Signal(s) // it may have ended by itself
	}
}

// freeze stops the process without its knowledge until resume.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// kill ends the process at once, also when it is frozen.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.cmd = nil
}

// terminate asks the process to end and returns without waiting.
func (p *process) terminate() { p.signal(syscall.SIGTERM) }

// awaitEnd waits for an end that was asked for and checks the exit status.
func (p *process) awaitExit(timeout time.Duration) {
	p.c.Helper()
	select {
	case <-p.exited:
		p.cmd = nil
		p.c.Check(p.err, qt.IsNil, qt.Commentf("%s ended with an error", p.name))
	case <-time.After(timeout):
		p.c.Fatalf("%s has not ended within %s of SIGTERM", p.name, timeout)
	}
}

var (
	raceMark  = []byte("WARNING: DATA RACE")
	panicMark = []byte("panic: ")
	fatalMark = []byte("fatal error: ")
)

// checkLog fails the test if the process reported a data race or a panic.
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

// logTail is how many bytes of each log a failed test prints.
const logTailBytes = 2500

// group runs functions at once and waits for all.
func runConcurrently(fns ...func()) {
	var wg sync.WaitGroup
	for _, fn := range fns {
		wg.Go(fn)
	}
	wg.Wait()
}
