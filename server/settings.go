package server

import (
	"net"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Settings configures the daemon of one VM. The kong tags define the flags and environment
// variables.
type Settings struct {
	VM            string            `required:"" env:"OLEANDER_VM" help:"Name of this VM, unique in the cluster."`
	Region        string            `required:"" env:"OLEANDER_REGION" help:"Region of this VM."`
	FailureDomain string            `required:"" env:"OLEANDER_FAILURE_DOMAIN" help:"Failure domain of this VM."`
	HTTPAddress   string            `name:"http-address" default:"127.0.0.1:8080" env:"OLEANDER_HTTP_ADDRESS" help:"IP address and port for callers, workers and operators."`
	PeerAddress   string            `name:"peer-address" default:"127.0.0.1:7080" env:"OLEANDER_PEER_ADDRESS" help:"IP address and port for the other VMs."`
	Peers         map[string]string `env:"OLEANDER_PEERS" mapsep:"," help:"Peer addresses of the other VMs, as vm1=10.0.0.1:7080,vm2=10.0.0.2:7080."`
	PinPeers      bool              `name:"pin-peers" env:"OLEANDER_PIN_PEERS" help:"Reach the VMs in --peers at the address given there, even if they have published another, as behind address translation."`
	DataDir       string            `name:"data-dir" env:"OLEANDER_DATA_DIR" help:"Data folder; empty for a VM without a disk."`
	Bootstrap     bool              `env:"OLEANDER_BOOTSTRAP" help:"Create the cluster if no peer knows of one. Set it on exactly one VM."`
	LogLevel      string            `name:"log-level" default:"info" enum:"debug,info,warn,error" env:"OLEANDER_LOG_LEVEL" help:"Least severe log level: debug, info, warn or error."`

	MaxConnections int           `name:"max-connections" default:"4096" env:"OLEANDER_MAX_CONNECTIONS" help:"Open connections per listener."`
	MaxWaiters     int           `name:"max-waiters" default:"20000" env:"OLEANDER_MAX_WAITERS" help:"Calls that may wait for an outcome at once."`
	DrainTimeout   time.Duration `name:"drain-timeout" default:"30s" env:"OLEANDER_DRAIN_TIMEOUT" help:"How long a graceful shutdown waits for calls in flight."`
	SLO            []string      `name:"slo" sep:"," default:"wait:*:urgent:2.2s:99.9,answer:*:*:99.9,share:*:99,spread:13s:99.9" env:"OLEANDER_SLO" help:"Service-level objectives: wait:KIND:CLASS:DURATION:PERCENT, answer:KIND:CLASS:PERCENT, share:TEAM:PERCENT or spread:DURATION:PERCENT; * stands for any. Give all VMs the same."`
}

// Validate checks all settings. Its error names the first invalid setting and how to correct
// it.
func (s *Settings) Validate() error {
	checks := []func(*Settings) error{checkNames, checkAddresses, checkPeers, checkLimits, checkSLO}
	for _, check := range checks {
		if err := check(s); err != nil {
			return err
		}
	}
	return nil
}

func checkNames(s *Settings) error {
	names := []struct{ flag, value string }{{"--vm", s.VM}, {"--region", s.Region}, {"--failure-domain", s.FailureDomain}}
	for _, n := range names {
		if n.value == "" {
			return errors.Errorf("%s is empty: give a name such as %s=a1", n.flag, n.flag)
		}
		if strings.ContainsAny(n.value, "#/, =\t\n") {
			return errors.Errorf("%s=%q contains one of '#', '/', ',', '=' or a space: use letters, digits and hyphens", n.flag, n.value)
		}
	}
	return nil
}

func checkAddresses(s *Settings) error {
	if err := checkAddress("--http-address", s.HTTPAddress); err != nil {
		return err
	}
	if err := checkAddress("--peer-address", s.PeerAddress); err != nil {
		return err
	}
	if s.HTTPAddress == s.PeerAddress {
		return errors.Errorf("--http-address and --peer-address are both %s: give them different ports", s.HTTPAddress)
	}
	return nil
}

func checkAddress(flag, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return errors.Errorf("%s=%q is not an address: use IP:port, such as 10.0.0.1:7080", flag, value)
	}
	if net.ParseIP(host) == nil {
		return errors.Errorf("%s=%q has no IP address: use IP:port, such as 10.0.0.1:7080", flag, value)
	}
	if port == "0" {
		return errors.Errorf("%s=%q has port 0: peers need a fixed port, such as 7080", flag, value)
	}
	return nil
}

func checkPeers(s *Settings) error {
	names := make([]string, 0, len(s.Peers))
	for name := range s.Peers {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if err := checkAddress("--peers "+name, s.Peers[name]); err != nil {
			return err
		}
		if name != s.VM && s.Peers[name] == s.PeerAddress {
			return errors.Errorf("--peers gives %s the address %s of this VM: correct the address or the name", name, s.PeerAddress)
		}
	}
	if s.Bootstrap && s.DataDir == "" {
		return errors.New("--bootstrap needs --data-dir: only a VM with a disk can be the first voter")
	}
	return nil
}

func checkLimits(s *Settings) error {
	if s.MaxConnections < 1 {
		return errors.Errorf("--max-connections=%d: use at least 1, such as 4096", s.MaxConnections)
	}
	if s.MaxWaiters < 1 {
		return errors.Errorf("--max-waiters=%d: use at least 1, such as 20000", s.MaxWaiters)
	}
	if s.DrainTimeout < 0 {
		return errors.Errorf("--drain-timeout=%s is negative: use a duration such as 30s", s.DrainTimeout)
	}
	return nil
}
