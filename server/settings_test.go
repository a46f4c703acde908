package server

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a wrong setting that is found late, or reported without its name and
// without what to type.
func TestInvalidSettingErrorsNameSettingAndFix(t *testing.T) {
	c := qt.New(t)
	good := Settings{
		VM: "vm1", Region: "north", FailureDomain: "n1", HTTPAddress: "127.0.0.1:8080", PeerAddress: "127.0.0.1:7080",
		Peers: map[string]string{"vm1": "127.0.0.1:7080", "vm2": "127.0.0.2:7080"}, DataDir: "d", Bootstrap: true,
		MaxConnections: 10, MaxWaiters: 10,
	}
	c.Assert(good.Validate(), qt.IsNil)
	tests := []struct {
		change func(*Settings)
		want   string
	}{
		{func(s *Settings) { s.VM = "" }, `--vm is empty: give a name.*`},
		{func(s *Settings) { s.Region = "a#b" }, `--region="a#b" contains one of.*use letters.*`},
		{func(s *Settings) { s.HTTPAddress = "host:1" }, `--http-address="host:1" has no IP number: use IP:port.*`},
		{func(s *Settings) { s.PeerAddress = "127.0.0.1" }, `--peer-address="127.0.0.1" is no address: use.*`},
		{func(s *Settings) { s.PeerAddress = "127.0.0.1:0" }, `--peer-address.* has port 0: peers need.*`},
		{func(s *Settings) { s.PeerAddress = s.HTTPAddress }, `.*are both.*different ports`},
		{func(s *Settings) { s.Peers = map[string]string{"vm2": "x"} }, `--peers vm2="x" is no address.*`},
		{func(s *Settings) { s.Peers = map[string]string{"vm2": "127.0.0.1:7080"} }, `--peers gives vm2 the address.*`},
		{func(s *Settings) { s.DataDir = "" }, `--bootstrap needs --data-dir.*`},
		{func(s *Settings) { s.MaxWaiters = 0 }, `--max-waiters=0: use at least 1.*`},
		{func(s *Settings) { s.DrainTimeout = -1 }, `--drain-timeout.*negative.*`},
	}
	for _, test := range tests {
		s := good
		test.change(&s)
		c.Check(s.Validate(), qt.ErrorMatches, test.want)
	}
}
