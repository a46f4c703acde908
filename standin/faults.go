package standin

import "sync"

// Faults are the switches for failures. The zero value is a healthy worker.
type Faults struct {
	// SlowMillis is added to the run time of each task that starts, in milliseconds.
	SlowMillis int64 `json:"slow_ms,omitempty"`
	// FailAll makes each task that ends fail.
	FailAll bool `json:"fail_all,omitempty"`
	// Freeze holds each call before it is carried out, each answer, and the
	// announcements until it is switched off. Tasks and the lease run on.
	Freeze bool `json:"freeze,omitempty"`
	// DropAnswers carries out each call and then closes its connection.
	DropAnswers bool `json:"drop_answers,omitempty"`
	// Refuse refuses each dispatch.
	Refuse bool `json:"refuse,omitempty"`
}

// faultSwitch holds the present faults and lets calls wait for the end of a freeze.
type faultSwitch struct {
	mu       sync.Mutex // guards the fields below
	faults   Faults
	unfrozen chan struct{} // closed while there is no freeze
}

func newFaultSwitch(f Faults) *faultSwitch {
	s := &faultSwitch{unfrozen: make(chan struct{})}
	close(s.unfrozen)
	s.set(f)
	return s
}

func (s *faultSwitch) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze && !s.faults.Freeze {
		s.unfrozen = make(chan struct{})
	}
	if !f.Freeze && s.faults.Freeze {
		close(s.unfrozen)
	}
	s.faults = f
}

func (s *faultSwitch) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// waitUnfrozen returns false if stop ends before the freeze does.
func (s *faultSwitch) waitUnfrozen(stop <-chan struct{}) bool {
	s.mu.Lock()
	unfrozen := s.unfrozen
	s.mu.Unlock()
	select {
	case <-unfrozen:
		return true
	case <-stop:
		return false
	}
}
