package standin

import "github.com/oleanderchute/oleanderchute/api"

// revoke makes the worker refuse an attempt for good if it has not started.
func (inc *incarnation) revoke(c api.TaskCommand) (api.DispatchResponse, error) {
	return inc.command(c, func(t *task) api.DispatchResponse {
		if t != nil {
			return t.known(inc)
		}
		inc.refuse(c.Task, c.Epoch, "revoked", false)
		return inc.response(api.DispatchRefused, "revoked")
	})
}

// stop ends a running task.
func (inc *incarnation) stop(c api.TaskCommand) (api.DispatchResponse, error) {
	return inc.command(c, func(t *task) api.DispatchResponse {
		if t == nil {
			return inc.response(dispatchUnknown, "")
		}
		if t.state == taskRunning {
			inc.stopTask(c.Task, t, reasonStop)
		}
		return t.known(inc)
	})
}

// command carries out f with mu held unless the epoch is stale. A command names no
// partition, so its epoch is compared with that of the present owner.
func (inc *incarnation) command(c api.TaskCommand, f func(*task) api.DispatchResponse) (api.DispatchResponse, error) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.hasEnded() {
		return api.DispatchResponse{}, errEnded
	}
	t := inc.tasks[c.Task]
	stale := inc.seeEpoch(inc.owner, c.Epoch)
	if stale == 0 {
		return f(t), nil
	}
	r := inc.response(dispatchUnknown, "stale epoch")
	if t != nil {
		r = t.known(inc)
	}
	r.StaleEpoch = stale
	return r, nil
}
