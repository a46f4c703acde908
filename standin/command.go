package standin

import "github.com/oleanderchute/oleanderchute/api"

// revoke permanently refuses an attempt that has not started.
func (inc *incarnation) revoke(c api.TaskCommand) (api.DispatchResponse, error) {
	return inc.applyCommand(c, func(t *task) api.DispatchResponse {
		if t != nil {
			return t.knownResponse(inc)
		}
		if !inc.isAddressed(c) && !inc.hasReplayed {
			// As for a dispatch: an earlier incarnation may have started the task.
			return inc.response(dispatchUnknown, "other incarnation")
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
		if t.state == taskRunning && !inc.isAddressed(c) {
			// The task of the other incarnation has the same ID; it belongs to another partition.
			return inc.response(dispatchUnknown, "other incarnation")
		}
		if t.state == taskRunning {
			inc.stopTask(c.Task, t, reasonStop)
		}
		return t.knownResponse(inc)
	})
}

// isAddressed reports whether a command is for this incarnation. An owner of an earlier version
// does not say which one it is for.
func (inc *incarnation) isAddressed(c api.TaskCommand) bool {
	return c.Incarnation == "" || c.Incarnation == inc.id
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
