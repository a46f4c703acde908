package integration

import (
	"context"
	"fmt"
	"path/filepath"
	"sort"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

// Time limits from the design page. The numbers in parentheses are its sections; G8 is one of
// its guarantees.
const (
	// formationTimeout covers the start of three processes, two joins and two promotions.
	formationTimeout = 20 * time.Second
	// configLeaseDuration is how long a VM may use tables that it cannot confirm to be in force (3.3).
	configLeaseDuration = 5 * time.Second
	// heartbeatInterval is the interval at which a leader sends heartbeats (4.1).
	heartbeatInterval = 50 * time.Millisecond
	// propagationLimit is the guaranteed time until a change is in force on all VMs while all
	// are connected (G8).
	propagationLimit = 3 * time.Second
	// electionLimit is the longest time without a leader (5).
	electionLimit = 2 * time.Second
	// callTimeout is the deadline of a call to another VM or to a worker (4.4).
	callTimeout = time.Second
	// silenceTimeout is the time until a silent connection is detected (4.4).
	silenceTimeout = 1500 * time.Millisecond
	// taskLeaseDuration is the duration of a task lease, L in section 3.5.
	taskLeaseDuration = 2 * time.Second
	// drainTimeout is the drain timeout of the daemons under test.
	drainTimeout = 8 * time.Second
)

// Request kinds, and the pools of the north and south partition that they are routed to.
const (
	kindNorth = "draft-guarantee"
	kindSouth = "timing-plan"
	poolNorth = "drafters"
	poolSouth = "planners"
)

// vm is one daemon with its addresses.
type vm struct {
	*process
	region, failureDomain    string
	httpAddress, peerAddress string
	dataDir                  string
	// entryProxy carries the connections of callers, announceProxy those of workers.
	entryProxy, announceProxy *faultProxy
	// admin connects to the VM without a proxy.
	admin *client.Client
}

// cluster is three daemons in three failure domains and two regions.
type cluster struct {
	c       *qt.C
	dir     string // holds the logs, journals and data folders
	vms     []*vm
	links   map[[2]string]*faultProxy // proxies between VMs, by the names of the calling and the called VM
	workers []*worker
}

var locations = []struct{ region, domain string }{{"north", "n1"}, {"north", "n2"}, {"south", "s1"}}

// newCluster starts the daemons and waits until the cluster has formed.
func newCluster(c *qt.C) *cluster {
	cl := &cluster{c: c, dir: c.TempDir(), links: map[[2]string]*faultProxy{}}
	for i, location := range locations {
		host, name := fmt.Sprintf("127.0.0.%d", i+1), fmt.Sprintf("vm%d", i+1)
		v := &vm{region: location.region, failureDomain: location.domain, httpAddress: freeAddress(c, host), peerAddress: freeAddress(c, host)}
		v.dataDir = filepath.Join(cl.dir, name)
		v.process = newProcess(c, cl.dir, "oleanderchute", name, nil)
		v.entryProxy, v.announceProxy = newFaultProxy(c, "entry-"+name, v.httpAddress), newFaultProxy(c, "announce-"+name, v.httpAddress)
		cl.vms = append(cl.vms, v)
		v.admin = cl.client(1, v.httpAddress)
	}
	for i, v := range cl.vms {
		v.args = cl.daemonArgs(v)
		if i == 0 {
			v.args = append(v.args, "--bootstrap")
		}
		v.start()
	}
	cl.awaitFormed(formationTimeout)
	return cl
}

// newServingCluster returns a new cluster in which the tables are in force on all VMs and the
// workers are ready.
func newServingCluster(c *qt.C) *cluster {
	cl := newCluster(c)
	awaitVersion(c, cl.vms, cl.apply(tables(), 0), propagationLimit)
	cl.startWorkers()
	return cl
}

// daemonArgs returns the arguments of a VM's daemon and creates the proxies to its peers.
func (cl *cluster) daemonArgs(v *vm) []string {
	var peers []string
	for _, other := range cl.vms {
		if other != v {
			proxy := newFaultProxy(cl.c, v.name+"-"+other.name, other.peerAddress)
			cl.links[[2]string{v.name, other.name}] = proxy
			peers = append(peers, other.name+"="+proxy.address)
		}
	}
	return []string{
		"serve", "--vm=" + v.name, "--region=" + v.region, "--failure-domain=" + v.failureDomain,
		"--http-address=" + v.httpAddress, "--peer-address=" + v.peerAddress, "--peers=" + strings.Join(peers, ","), "--pin-peers",
		"--data-dir=" + v.dataDir, "--drain-timeout=" + drainTimeout.String(),
	}
}

// client returns a client for the addresses with a short call timeout, so that a call to a VM
// that is down does not delay the test.
func (cl *cluster) client(tries int, addresses ...string) *client.Client {
	apiClient, err := client.New(addresses, client.Options{MaxTries: tries, CallTimeout: 5 * time.Second, Seed: 1})
	cl.c.Assert(err, qt.IsNil)
	cl.c.Cleanup(apiClient.Close)
	return apiClient
}

// caller returns a client that connects through the callers' proxies and tries the given VM
// first.
func (cl *cluster) caller(first int) *client.Client {
	var addresses []string
	for i := range cl.vms {
		addresses = append(addresses, cl.vms[(first+i)%len(cl.vms)].entryProxy.address)
	}
	apiClient, err := client.New(addresses, client.Options{Seed: uint64(first + 1)})
	cl.c.Assert(err, qt.IsNil)
	cl.c.Cleanup(apiClient.Close)
	return apiClient
}

// operator returns a client that tries all VMs directly.
func (cl *cluster) operator() *client.Client {
	return cl.client(24, cl.vms[0].httpAddress, cl.vms[1].httpAddress, cl.vms[2].httpAddress)
}

// awaitFormed waits until all VMs are voters that may serve and each partition has an owner. It
// returns how long that took.
func (cl *cluster) awaitFormed(timeout time.Duration) time.Duration {
	cl.c.Helper()
	return waitFor(cl.c, "three voters that may serve and two partitions with owners", timeout, cl.isFormed)
}

func (cl *cluster) isFormed() bool {
	for _, v := range cl.vms {
		st, err := v.status()
		if err != nil || len(st.VMs) != len(cl.vms) || len(st.Partitions) != 2 {
			return false
		}
		for _, other := range st.VMs {
			if !other.MayServe || (other.Role != "leader" && other.Role != "voter") {
				return false
			}
		}
		for _, p := range st.Partitions {
			if p.Leader == "" || len(p.Replicas) != len(cl.vms) {
				return false
			}
		}
	}
	return true
}

// status returns the cluster status as the VM reports it.
func (v *vm) status() (api.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return v.admin.Status(ctx)
}

// selfStatus returns the status that the VM reports for itself, and false if it reports none.
func (v *vm) selfStatus() (api.VMStatus, bool) {
	st, err := v.status()
	if err != nil {
		return api.VMStatus{}, false
	}
	for _, s := range st.VMs {
		if s.VM == v.name {
			return s, true
		}
	}
	return api.VMStatus{}, false
}

// vm returns the VM with the given name.
func (cl *cluster) vm(name string) *vm {
	i := sort.Search(len(cl.vms), func(i int) bool { return cl.vms[i].name >= name })
	cl.c.Assert(i < len(cl.vms) && cl.vms[i].name == name, qt.IsTrue, qt.Commentf("no VM %q", name))
	return cl.vms[i]
}

// partitionOwner waits until some VM reports an owner of the partition, and returns the owner.
func (cl *cluster) partitionOwner(name string) *vm {
	cl.c.Helper()
	owner := ""
	waitFor(cl.c, "an owner of partition "+name, 3*electionLimit, func() bool {
		for _, v := range cl.vms {
			st, err := v.status()
			if err != nil {
				continue
			}
			for _, p := range st.Partitions {
				if p.Partition == name && p.Leader != "" {
					owner = p.Leader
					return true
				}
			}
		}
		return false
	})
	return cl.vm(owner)
}

// controlLeader waits until a VM reports that it leads the control group, and returns it.
func (cl *cluster) controlLeader() *vm {
	cl.c.Helper()
	leader := ""
	waitFor(cl.c, "a control leader", 3*electionLimit, func() bool {
		for _, v := range cl.vms {
			if s, ok := v.selfStatus(); ok && s.Role == "leader" {
				leader = v.name
				return true
			}
		}
		return false
	})
	return cl.vm(leader)
}

// linksBetween returns the proxies between two sets of VMs, in both directions.
func (cl *cluster) linksBetween(a, b []*vm) []*faultProxy {
	var out []*faultProxy
	for _, x := range a {
		for _, y := range b {
			out = append(out, cl.links[[2]string{x.name, y.name}], cl.links[[2]string{y.name, x.name}])
		}
	}
	return out
}

// tables returns the tables of the tests, with an additional route for each extra name.
func tables(extra ...string) api.Tables {
	t := api.Tables{
		Routes: []api.Route{{Name: kindNorth, Pool: poolNorth}, {Name: kindSouth, Pool: poolSouth}},
		Pools:  []api.Pool{{Name: poolNorth, Home: "north"}, {Name: poolSouth, Home: "south"}},
	}
	for _, name := range extra {
		t.Routes = append(t.Routes, api.Route{Name: name, Pool: poolNorth})
	}
	return t
}

// apply replaces the tables and returns the new version.
func (cl *cluster) apply(t api.Tables, base uint64) uint64 {
	cl.c.Helper()
	resp, err := cl.operator().Apply(timeoutContext(cl.c, 20*time.Second), api.ApplyRequest{Operator: "test", BaseVersion: base, Tables: t})
	cl.c.Assert(err, qt.IsNil)
	cl.c.Assert(resp.Accepted, qt.IsTrue, qt.Commentf("%+v", resp))
	return resp.Version
}

// awaitVersion waits until the VMs have at least the given version of the tables, and returns
// how long that took.
func awaitVersion(c *qt.C, vms []*vm, version uint64, timeout time.Duration) time.Duration {
	c.Helper()
	return waitFor(c, fmt.Sprintf("version %d on %d VMs", version, len(vms)), timeout, func() bool {
		for _, v := range vms {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			t, err := v.admin.Tables(ctx)
			cancel()
			if err != nil || t.Version < version {
				return false
			}
		}
		return true
	})
}
