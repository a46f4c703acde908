package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against a leader that goes on as without a configuration when the first one has version 0: workers of
// unknown pools would be registered, and limits and priorities ignored.
func TestFirstConfigurationOfVersionZeroIsUsed(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.run(time.Second)
	k.sched.updateTopPriority()
	k.sched.beginAccountPass()
	account := k.sched.accountNamed("ada")
	limit := job.Resources{MilliCPU: 2000}
	k.state.Apply(job.Op{Config: &job.Config{Pools: []job.Pool{{Name: "desk"}}, Queues: []job.Queue{{Name: "drafts", Pool: "desk", Priority: 3}},
		HasAccounts: true, Accounts: []job.Account{{Name: "ada", Weight: 1, Limit: limit}}}})
	k.sched.updateTopPriority()
	k.sched.beginAccountPass()
	c.Check(k.sched.topPriority["desk"], qt.Equals, 3)
	c.Check(account.limit, qt.Equals, limitOf(&job.Account{Limit: limit}))
	foreign := Announcement{Worker: job.Worker{Name: "w", Address: "a:1", Pool: "dsek"}}
	c.Check(k.sched.Announced(k.now, foreign), qt.Equals, AnnouncementRefused)
}
