package standin

import "sync"

// Faults selects the faults to inject. The zero value is a healthy worker.
type Faults struct {
	// SlowMillis is added to the run time of each task that starts, in milliseconds.
	SlowMillis int64 `json:"slow_ms,omitempty"`
	// FailAll makes every task fail when its run time has elapsed.
	FailAll bool `json:"fail_all,omitempty"`
	// Freeze blocks each call before it is executed and again before its response, and
	// suspends announcements, until it is cleared. Tasks and the lease continue.
	Freeze bool `json:"freeze,omitempty"`
	// DropAnswers executes each call and closes its connection instead of responding.
	DropAnswers bool `json:"drop_answers,omitempty"`
	// Refuse makes the worker refuse every dispatch.
	Refuse bool `json:"refuse,omitempty"`
}

// faultSwitch holds the active faults and lets calls wait for the end of a freeze.
type faultSwitch struct {
	mu       sync.Mutex // guards the fields below
	faults   Faults
	unfrozen chan struct{} // closed while Freeze is not set
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

// waitUnfrozen waits until Freeze is cleared. It returns false if stop is closed first.
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
