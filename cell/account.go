package cell

import (
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/job"
)

// authenticate returns the name of the account of a call's key, empty if accounts are not configured,
// or if the queue is public and the key is unknown. It returns an error, which never contains a key, if
// the queue needs a key and the call has none that is in the configuration in force.
func (h *replicaHost) authenticate(q *job.Queue, key *job.KeyDigest) (account string, err error) {
	config := h.state.Config()
	if !config.HasAccounts {
		return "", nil
	}
	if key != nil {
		if a := h.state.AccountByKey(*key); a != nil {
			return a.Name, nil
		}
	}
	switch {
	case q.Public:
		return "", nil
	case key == nil:
		return "", errors.New("the call has no valid key; this route needs one")
	}
	return "", errors.Errorf("the key is not in version %d of the configuration", config.Version)
}

// isVisible reports whether callers of an account may see and change a job. A job of an account is
// hidden from callers of other accounts only. Callers without an account are served on public queues
// only, and one whose key was withdrawn must not be told there that its job is gone.
func isVisible(j *job.Job, account string) bool {
	return j.Account == "" || account == "" || j.Account == account
}

// settle returns the reply to a call of which an earlier attempt may have been executed. A refusal does not
// show that the call had no effect if the configuration may have changed between the attempts: a leader that
// finds no valid key or no route has not looked for the job, and an id that is in use may be that of the
// call's own job, whose route or account was that of the call before.
func settle(c Call, reply Reply, uncertain bool) Reply {
	if !uncertain || c.Kind != SubmitJob && c.Kind != CancelJob {
		return reply
	}
	switch reply.Code {
	case Unauthenticated, NoQueue, Conflict:
		return Reply{Code: Unknown}
	}
	return reply
}

// accountField is the log field for an account, or none for a job without one.
func accountField(name string) zap.Field {
	if name == "" {
		return zap.Skip()
	}
	return zap.String("account", name)
}
