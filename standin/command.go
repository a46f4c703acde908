package standin

import "github.com/oleanderchute/oleanderchute/api"

// revoke makes the worker refuse an attempt for good if it has not started.
func (l *life) revoke(c api.TaskCommand) (api.DispatchResponse, error) {
	return l.command(c, func(t *task) api.DispatchResponse {
		if t != nil {
			return t.known(l)
		}
		l.refuse(c.Task, c.Epoch, "revoked", false)
		return l.response(api.DispatchRefused, "revoked")
	})
}

// stop ends a running task.
func (l *life) stop(c api.TaskCommand) (api.DispatchResponse, error) {
	return l.command(c, func(t *task) api.DispatchResponse {
		if t == nil {
			return l.response(dispatchUnknown, "")
		}
		if t.state == taskRunning {
			l.stopTask(c.Task, t, reasonStop)
		}
		return t.known(l)
	})
}

// command carries out f with mu held unless the epoch is stale. A command names no
// partition, so its epoch is compared with that of the present owner.
func (l *life) command(c api.TaskCommand, f func(*task) api.DispatchResponse) (api.DispatchResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDead() {
		return api.DispatchResponse{}, errDead
	}
	t := l.tasks[c.Task]
	stale := l.seeEpoch(l.owner, c.Epoch)
	if stale == 0 {
		return f(t), nil
	}
	r := l.response(dispatchUnknown, "stale epoch")
	if t != nil {
		r = t.known(l)
	}
	r.StaleEpoch = stale
	return r, nil
}
