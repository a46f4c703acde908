package control

import "github.com/oleanderchute/oleanderchute/api"

// maxAnswers is how many change ids are remembered. At 9,200 changes a day the oldest
// is about a day old. A resend after that is based on an old version and is refused, so
// it cannot take effect twice.
const maxAnswers = 10000

// answer is the first answer to a change id.
type answer struct {
	ChangeID string            `cbor:"1,keyasint"`
	Response api.ApplyResponse `cbor:"2,keyasint"`
}

// answerLog remembers the first answers of the newest change ids. It owns the
// responses and gives out copies.
type answerLog struct {
	ring []answer
	next int // index of the oldest once the ring is full
	byID map[string]int
}

func newAnswerLog() *answerLog { return &answerLog{byID: make(map[string]int)} }

func (l *answerLog) find(id string) (api.ApplyResponse, bool) {
	i, ok := l.byID[id]
	if !ok {
		return api.ApplyResponse{}, false
	}
	return cloneResponse(l.ring[i].Response), true
}

func (l *answerLog) add(id string, r api.ApplyResponse) {
	a := answer{ChangeID: id, Response: cloneResponse(r)}
	if len(l.ring) < maxAnswers {
		l.byID[id] = len(l.ring)
		l.ring = append(l.ring, a)
		return
	}
	delete(l.byID, l.ring[l.next].ChangeID)
	l.ring[l.next], l.byID[id] = a, l.next
	l.next = (l.next + 1) % maxAnswers
}

// ordered returns the answers, oldest first. The result shares memory with the log.
func (l *answerLog) ordered() []answer {
	out := make([]answer, 0, len(l.ring))
	out = append(out, l.ring[l.next:]...)
	return append(out, l.ring[:l.next]...)
}

func cloneResponse(r api.ApplyResponse) api.ApplyResponse {
	r.Problems = cloneProblems(r.Problems)
	return r
}

func cloneProblems(list []api.Problem) []api.Problem {
	var out []api.Problem
	for _, p := range list {
		p.Callers = append([]string(nil), p.Callers...)
		out = append(out, p)
	}
	return out
}
