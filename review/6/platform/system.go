package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// The ports of the machines, each of which has a loopback address of its own.
const (
	frontPort, readyPort, controlPort, firstPeerPort, lastPeerPort, metricsPort = 8161, 8167, 8166, 7720, 7735, 9464
	heartbeatMillis                                                             = 1500
)

// bounds are those of sites/rngt-chute.toml.
var bounds = map[string]any{"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 4,
	"drain_ms": 2500, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2500, "downgrade_slack_ms": 250, "max_skew_ms": 6000,
	"recovery_s": 12, "max_hold_ms": 10000, "stop_timeout_ms": 400, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
	"early_ms": 250, "finish_s": 14, "status_s": 120, "cross_rack_factor": 3, "checkpoint_s": 1, "restore_ms": 600, "notice_ms": 5500,
	"migrate_s": 1.5, "maintenance_s": 2, "require_fencing": true, "lease_ms": 3000, "thaw_slack_ms": 300, "rate_window_ms": 100, "interference_ms": 4000}

const (
	stableWindow = 4 * time.Second
	cancelBound  = 3 * time.Second
	stopBound    = 400 * time.Millisecond
	maxHold      = 10 * time.Second
)

var zones = []string{"port-louis-a", "mahebourg-a", "port-louis-b"}

var regionOf = map[string]string{"port-louis-a": "port-louis", "mahebourg-a": "mahebourg", "port-louis-b": "port-louis"}

// machine is one machine of the system with its process.
type machine struct {
	name, role, class, ip, zone string
	started                     bool // once
	dir                         string

	mu      sync.Mutex
	cmd     *exec.Cmd
	kills   int
	ended   bool // no restart any more
	restart time.Duration
}

// system is a small deployment: the platform starts its processes, and starts those again that end.
type system struct {
	rec     *recorder
	net     string
	dir     string
	program string
	keepers []*machine
	entries []*machine
	wg      sync.WaitGroup
}

func (s *system) all() []*machine { return append(append([]*machine{}, s.keepers...), s.entries...) }

// newSystem chooses a free loopback network and starts the processes with the commands of the deploy file.
func newSystem(rec *recorder, keepers, entries int) (*system, error) {
	program, err := filepath.Abs("target/oleanderchute-cell")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir, program: program}
	if s.net, err = freeNetwork(keepers, entries); err != nil {
		return nil, err
	}
	for i := range keepers {
		s.keepers = append(s.keepers, &machine{name: fmt.Sprintf("core-%d", i), role: "keeper", class: "core", ip: s.ip(10 + i), zone: zones[i%len(zones)]})
	}
	for i := range entries {
		s.entries = append(s.entries, &machine{name: fmt.Sprintf("edge-%d", i), role: "entry", class: "edge", ip: s.ip(30 + i), zone: zones[i%len(zones)]})
	}
	for _, m := range s.all() {
		m.dir, m.restart = filepath.Join(dir, m.name), time.Second
		if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o700); err != nil {
			return nil, err
		}
		s.wg.Add(1)
		go s.keepRunning(m)
	}
	return s, nil
}

func (s *system) ip(n int) string { return fmt.Sprintf("%s.%d", s.net, n) }

// freeNetwork returns the first three octets of a loopback network on which the ports are free.
func freeNetwork(keepers, entries int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if isFree(network, keepers, entries) {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

func isFree(network string, keepers, entries int) bool {
	for i := range keepers + entries {
		n := 10 + i
		if i >= keepers {
			n = 30 + i - keepers
		}
		for _, port := range []int{frontPort, readyPort, controlPort, firstPeerPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, n, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// writeSettings writes the settings file of a machine in the platform's format.
func (s *system) writeSettings(m *machine) (string, error) {
	seeds := []string{}
	for _, k := range s.keepers[:min(3, len(s.keepers))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", k.ip, controlPort))
	}
	listen, serves, dataDir := map[string]string{}, []string{"edge"}, any(nil)
	if m.class == "core" {
		listen["control"], serves, dataDir = fmt.Sprintf("%s:%d", m.ip, controlPort), []string{"control"}, filepath.Join(m.dir, "data")
	} else {
		listen["front"], listen["ready"] = fmt.Sprintf("%s:%d", m.ip, frontPort), fmt.Sprintf("%s:%d", m.ip, readyPort)
	}
	settings := map[string]any{"node_name": m.name, "role": m.role, "machine_class": m.class, "serves": serves, "ip": m.ip, "zone": m.zone,
		"region": regionOf[m.zone], "zones": regionOf, "listen": listen, "port_range": []int{firstPeerPort, lastPeerPort}, "seeds": seeds,
		"bootstrap": !m.started, "loss_counts": m.class == "core",
		"limits":   map[string]any{"cpu_quota": 0.8, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128},
		"data_dir": dataDir, "discovery": "registry", "entry": "vip", "heartbeat_ms": heartbeatMillis,
		"policies":        []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"fault_tolerance": map[string]any{"machines": (len(s.keepers) - 1) / 2, "zones": 0, "region_count": 0}, "bounds": bounds,
		"config_mode": "highest", "commands": "call"}
	raw, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(m.dir, "node.json")
	return path, os.WriteFile(path, raw, 0o600)
}

// keepRunning starts a machine's process, and again after it has ended, until the script ends.
func (s *system) keepRunning(m *machine) {
	defer s.wg.Done()
	runtime.LockOSThread() // the process gets its Pdeathsig when the thread that started it ends
	for {
		m.mu.Lock()
		if m.ended {
			m.mu.Unlock()
			return
		}
		path, err := s.writeSettings(m)
		if err == nil {
			var log *os.File
			if log, err = os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
				m.cmd = exec.Command(s.program, m.role)
				m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERCHUTE_SETTINGS=" + path}
				m.cmd.Stdout, m.cmd.Stderr = log, log
				m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
				err = m.cmd.Start()
				log.Close()
			}
		}
		if err != nil {
			s.rec.say("%s cannot be started: %v", m.name, err)
			m.mu.Unlock()
			return
		}
		cmd := m.cmd
		s.rec.add("platform: %s started, pid %d", m.name, cmd.Process.Pid)
		m.started = true
		m.mu.Unlock()
		err = cmd.Wait()
		m.mu.Lock()
		ended, pause := m.ended, m.restart
		m.mu.Unlock()
		if !ended {
			s.rec.add("platform: %s ended: %v", m.name, err)
			time.Sleep(pause)
		}
	}
}

// kill sends SIGKILL to a machine's process.
func (s *system) kill(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.rec.say("SIGKILL to %s", m.name)
	m.kills++
	_ = m.cmd.Process.Kill()
}

// stop ends all processes and removes their files.
func (s *system) stop() {
	for _, m := range s.all() {
		m.mu.Lock()
		m.ended = true
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
		}
		m.mu.Unlock()
	}
	s.wg.Wait()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// keeperAt returns the keeper that serves operators and workers at an address, or nil.
func (s *system) keeperAt(address string) *machine {
	for _, m := range s.keepers {
		if address == fmt.Sprintf("%s:%d", m.ip, controlPort) {
			return m
		}
	}
	return nil
}
