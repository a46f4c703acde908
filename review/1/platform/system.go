package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site rngt-chute.
const (
	stableWindow = 4 * time.Second
	cancelBound  = 3 * time.Second
	stopTimeout  = 400 * time.Millisecond
	drainBound   = 2500 * time.Millisecond
	finishBound  = 14 * time.Second
	maxHold      = 10 * time.Second
	heartbeat    = 1500 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// system is a small deployment: five keepers and some entry machines on loopback addresses.
type system struct {
	rec     *record
	dir     string
	net     string // the first three octets of all addresses
	base    int    // first port; the same on all machines
	keepers []*machine
	entries []*machine
}

// machine is one process of the system.
type machine struct {
	sys      *system
	name     string
	ip       string
	zone     string
	isKeeper bool
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	ownEnds  int  // how often the process ended without a signal of the case
	expected bool // the case has sent a signal that ends the process
	stopped  bool // no restart
}

var zones = map[string]string{"port-louis-a": "port-louis", "mahebourg-a": "mahebourg", "port-louis-b": "port-louis"}

func newSystem(rec *record, keepers, entries int) (*system, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir}
	for try := 0; ; try++ {
		s.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		s.base = 20000 + rand.IntN(8000)
		if s.portsAreFree(keepers, entries) {
			break
		}
		if try == 50 {
			return nil, fmt.Errorf("no free ports")
		}
	}
	names := []string{"port-louis-a", "mahebourg-a", "port-louis-b"}
	for i := range keepers {
		s.keepers = append(s.keepers, &machine{sys: s, name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s.%d", s.net, 10+i), zone: names[i%3], isKeeper: true})
	}
	for i := range entries {
		s.entries = append(s.entries, &machine{sys: s, name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", s.net, 50+i), zone: names[i%3]})
	}
	return s, nil
}

func (s *system) portsAreFree(keepers, entries int) bool {
	for i := range keepers + entries {
		host := fmt.Sprintf("%s.%d", s.net, 10+i)
		if i >= keepers {
			host = fmt.Sprintf("%s.%d", s.net, 50+i-keepers)
		}
		for _, port := range []int{s.base, s.base + 1, s.base + 2, s.base + 10, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (s *system) all() []*machine { return append(append([]*machine{}, s.keepers...), s.entries...) }

func (s *system) start() error {
	for _, m := range s.all() {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) controls() []string {
	var out []string
	for _, k := range s.keepers {
		out = append(out, k.control())
	}
	return out
}

func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, m.sys.base) }
func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, m.sys.base+1) }
func (m *machine) ready() string   { return fmt.Sprintf("%s:%d", m.ip, m.sys.base+2) }

// start starts the process with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	s := m.sys
	dir := filepath.Join(s.dir, m.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	seeds := []string{}
	for _, k := range s.keepers[:3] {
		seeds = append(seeds, k.control())
	}
	role, class := "entry", "edge"
	listen := map[string]string{"front": m.front(), "ready": m.ready()}
	var dataDir any
	limits := map[string]any{"cpu_quota": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	if m.isKeeper {
		role, class = "keeper", "core"
		listen = map[string]string{"control": m.control()}
		dataDir = filepath.Join(dir, "data")
		limits = map[string]any{"cpu_quota": 0.8, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}
		if err := os.MkdirAll(filepath.Join(dir, "data"), 0o755); err != nil {
			return err
		}
	}
	settings := map[string]any{
		"node_name": m.name, "role": role, "machine_class": class, "ip": m.ip, "zone": m.zone, "region": zones[m.zone], "zones": zones,
		"listen": listen, "port_range": []int{s.base + 10, s.base + 25}, "seeds": seeds, "bootstrap": bootstrap, "loss_counts": m.isKeeper,
		"limits": limits, "data_dir": dataDir, "discovery": "registry", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"policies":        []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]any{"machines": 2, "zones": 0, "region_count": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4,
			"drain_ms": 2500, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2500, "downgrade_slack_ms": 250, "max_skew_ms": 6000,
			"recovery_s": 12, "max_hold_ms": 10000, "stop_timeout_ms": 400, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
			"early_ms": 250, "finish_s": 14, "status_s": 120, "cross_rack_factor": 3, "checkpoint_s": 1, "restore_ms": 600,
			"notice_ms": 5500, "migrate_s": 1.5, "maintenance_s": 2, "require_fencing": true, "lease_ms": 3000, "thaw_slack_ms": 300,
			"rate_window_ms": 100, "interference_ms": 4000},
		"config_mode": "highest", "commands": "call", "advisor": s.net + ".5:1",
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(dir, "node.json")
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/oleanderchute-cell", role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERCHUTE_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	exited := make(chan struct{})
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.exited, m.expected = cmd, exited, false
	s.rec.add("start %s pid %d bootstrap %v", m.name, cmd.Process.Pid, bootstrap)
	go m.wait(cmd, exited)
	return nil
}

// wait waits for the end of the process and starts it again, as the platform does.
func (m *machine) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	m.mu.Lock()
	own := !m.expected && !m.stopped
	if own {
		m.ownEnds++
	}
	m.mu.Unlock()
	close(exited)
	m.sys.rec.add("end %s by itself %v: %v", m.name, own, err)
	time.Sleep(restartDelay)
	m.mu.Lock()
	stopped := m.stopped
	m.mu.Unlock()
	if !stopped {
		if err := m.start(false); err != nil {
			m.sys.rec.add("restart of %s failed: %v", m.name, err)
		}
	}
}

// kill sends a signal that ends the process. The process starts again after a short delay.
func (m *machine) kill(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expected = true
	m.sys.rec.add("signal %v to %s", sig, m.name)
	_ = m.cmd.Process.Signal(sig)
}

func (m *machine) endsByItself() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownEnds
}

// stop ends all processes for good.
func (s *system) stop() {
	for _, m := range s.all() {
		m.mu.Lock()
		m.stopped = true
		cmd, exited := m.cmd, m.exited
		m.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	}
}

// freeze stops the process for a time, without waiting.
func (m *machine) freeze(d time.Duration) {
	m.mu.Lock()
	process := m.cmd.Process
	m.mu.Unlock()
	m.sys.rec.add("%s stands still for %v", m.name, d)
	_ = process.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		_ = process.Signal(syscall.SIGCONT)
		m.sys.rec.add("%s wakes", m.name)
	})
}
