package standin

import "github.com/oleanderchute/oleanderchute/api"

// revoke permanently refuses an attempt that has not started.
func (inc *incarnation) revoke(c api.TaskCommand) (api.DispatchResponse, error) {
	return inc.applyCommand(c, func(t *task) api.DispatchResponse {
		if t != nil {
			return t.knownResponse(inc)
		}
		inc.refuse(c.Task, c.Epoch, "revoked", false)
		return inc.response(api.DispatchRefused, "revoked")
	})
}

// stop stops a running task.
func (inc *incarnation) stop(c api.TaskCommand) (api.DispatchResponse, error) {
	return inc.applyCommand(c, func(t *task) api.DispatchResponse {
		if t == nil {
			return inc.response(dispatchUnknown, "")
		}
		if t.state == taskRunning {
			inc.stopTask(c.Task, t, reasonStop)
		}
		return t.knownResponse(inc)
	})
}

// applyCommand calls f with mu held unless the epoch is stale.
func (inc *incarnation) applyCommand(c api.TaskCommand, f func(*task) api.DispatchResponse) (api.DispatchResponse, error) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.hasEnded() {
		return api.DispatchResponse{}, errEnded
	}
	t := inc.tasks[c.Task]
	partition := c.Partition
	if partition == "" {
		partition = inc.owner
	}
	stale := inc.observeEpoch(partition, c.Epoch)
	if stale == 0 {
		return f(t), nil
	}
	r := inc.response(dispatchUnknown, "stale epoch")
	if t != nil {
		r = t.knownResponse(inc)
	}
	r.StaleEpoch = stale
	return r, nil
}
