package standin

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// recall rebuilds what a restarted worker may say about former incarnations: a task
// that started and whose end was not acknowledged is reported as stopped, since its
// answer is lost; a refused attempt stays refused. Epochs are not taken over: a
// dispatch of a former owner names a former incarnation and is refused for that.
func (inc *incarnation) replayJournal(events []Event, now time.Time) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	inc.hasReplayed = true
	for _, e := range events {
		if now.Sub(e.time()) > rememberFor {
			continue
		}
		id := e.Task()
		switch e.Kind {
		case EventStart:
			end := api.TaskEnd{Task: id, Kind: api.EndStopped, Reason: reasonRestart}
			setAnswer(&end, nil)
			inc.tasks[id] = &task{state: taskEnded, end: end, reported: true, closedAt: now}
		case EventRefuse:
			end := api.TaskEnd{Task: id, Kind: api.EndRefused, Reason: e.Reason}
			setAnswer(&end, nil)
			inc.tasks[id] = &task{state: taskRefused, end: end, closedAt: now}
		case EventAck:
			if t := inc.tasks[id]; t != nil {
				t.reported = false
			}
		}
	}
}
