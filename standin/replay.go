package standin

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// replayJournal restores the attempts of earlier incarnations from the journal. A task
// that started and whose end was not acknowledged is reported as stopped, because its
// answer is lost. A refused attempt stays refused. Epochs are not restored: a dispatch
// of a previous owner names an earlier incarnation and is refused for that reason.
func (inc *incarnation) replayJournal(events []Event, now time.Time) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	inc.hasReplayed = true
	for _, e := range events {
		if now.Sub(e.time()) > taskRetention {
			continue
		}
		id := e.Task()
		switch e.Kind {
		case EventStart:
			end := api.TaskEnd{Task: id, Kind: api.EndStopped, Reason: reasonRestart}
			setAnswer(&end, nil)
			inc.tasks[id] = &task{state: taskEnded, end: end, awaitsAck: true, endedAt: now}
		case EventRefuse:
			end := api.TaskEnd{Task: id, Kind: api.EndRefused, Reason: e.Reason}
			setAnswer(&end, nil)
			inc.tasks[id] = &task{state: taskRefused, end: end, endedAt: now}
		case EventAck:
			if t := inc.tasks[id]; t != nil {
				t.awaitsAck = false
			}
		}
	}
}
