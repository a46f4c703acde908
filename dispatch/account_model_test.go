package dispatch

import (
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// limitsInForce are the limits of the accounts in a configuration that was applied at a time.
type limitsInForce struct {
	at       time.Duration
	accounts map[string]job.Resources
}

// setLimits proposes a configuration in which the accounts have the given limits. Its version is the
// current one plus 1, or more if others are proposed.
func (c *cluster) setLimits(limits map[string]job.Resources) {
	config := *c.state.Config()
	config.HasAccounts, config.Accounts = true, nil
	for _, name := range []string{"a", "b", "c"} {
		if limit, ok := limits[name]; ok {
			config.Accounts = append(config.Accounts, job.Account{Name: name, Weight: 1, Limit: limit})
		}
	}
	config.Version = max(config.Version, c.lastVersion) + 1
	c.lastVersion = config.Version
	c.propose([]job.Op{{Config: &config}})
}

// submitFor proposes a job of an account.
func (c *cluster) submitFor(account string, id job.ID, steps ...job.Step) {
	c.submitTo("drafts", account, id, steps...)
}

// addUrgentQueue adds the queue "urgent", which is more urgent than "drafts".
func (c *cluster) addUrgentQueue() {
	config := *c.state.Config()
	urgent := config.Queues[0]
	urgent.Name, urgent.Prefix, urgent.Priority = "urgent", "/u/", urgent.Priority-1
	config.Queues = append(config.Queues[:1:1], urgent)
	config.Version++
	c.state.Apply(job.Op{Config: &config})
}

// submitTo proposes a job of an account to a queue.
func (c *cluster) submitTo(queue, account string, id job.ID, steps ...job.Step) {
	c.propose([]job.Op{{Submit: &job.Submit{ID: id, Queue: queue, Spec: job.Spec{Steps: steps}, AcceptedMillis: c.wallMillis(), Account: account}}})
}

// noteClaims notes when claims are proposed.
func (c *cluster) noteClaims(ops []job.Op) {
	for _, op := range ops {
		if op.Claim != nil {
			c.claimedAt[claimKey{op.Claim.Task, op.Claim.Run}] = c.now
		}
	}
}

// noteLimits notes the limits of a configuration that was applied.
func (c *cluster) noteLimits(op job.Op) {
	if op.Config == nil || c.state.Config().Version != op.Config.Version {
		return
	}
	l := limitsInForce{c.now, map[string]job.Resources{}}
	for _, a := range op.Config.Accounts {
		l.accounts[a.Name] = a.Limit
	}
	c.limits = append(c.limits, l)
}

// checkLimit reports a start that brings what the workers run for an account above its limit in any
// dimension that the start needs. A limit that was lowered since the run was claimed does not count,
// since it does not stop claimed runs.
func (c *cluster) checkLimit(key claimKey, j *job.Job, step *job.Step) {
	if j.Account == "" {
		return
	}
	used := step.Allocation()
	for _, w := range c.workers {
		for k, r := range w.runs {
			if other := c.state.Job(k.task.Job); w.isUp && other != nil && other.Account == j.Account {
				used = used.Plus(r.step.Allocation())
			}
		}
	}
	highest := amounts{} // since the claim was proposed; batches may be committed at the same time
	for i, l := range c.limits {
		if i+1 < len(c.limits) && c.limits[i+1].at < c.claimedAt[key] {
			continue
		}
		for d, limit := range amountsOf(l.accounts[j.Account]) {
			if limit == 0 {
				limit = 1 << 40
			}
			highest[d] = max(highest[d], limit)
		}
	}
	for d, amount := range amountsOf(used) {
		if len(c.limits) > 0 && amount > highest[d] && amountsOf(step.Allocation())[d] > 0 {
			c.reportViolation("%v: account %s runs %d %s; its limit was at most %d", key.task, j.Account, amount, dimensions[d], highest[d])
		}
	}
}
