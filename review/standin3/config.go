//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// routeRenamed hands in jobs, sends a configuration that removes their route and adds another one with the same host,
// prefix and service, and then asks for one job and cancels the other.
func routeRenamed(s *system, trouble bool) ([]string, error) {
	behave := func(string, uint32) outcome { return outcome{3 * time.Second, "done"} }
	if err := s.setUp(2, behave, config(3, newRoute("r-1", "/lohu930/", 0)), "/lohu930/"); err != nil {
		return nil, err
	}
	chain := jobSpec{"chain", []phase{{Count: 1, CPU: 1000, MemMB: 256, EstimateMS: 3000}}}
	asked, err := s.submit("/lohu930/", chain)
	if err != nil {
		return nil, err
	}
	long := jobSpec{"twenty tasks for two workers", []phase{{Count: 20, CPU: 8000, MemMB: 256, EstimateMS: 3000}}}
	cancelled, err := s.submit("/lohu930/", long)
	if err != nil {
		return nil, err
	}
	time.Sleep(visibleAfter + time.Second)
	name := "r-1"
	if trouble {
		name = "r-2"
	}
	if status, _ := s.operate(http.MethodPost, "/config/put", config(9, newRoute(name, "/lohu930/", 0)), 5*time.Second); status != http.StatusOK {
		return nil, fmt.Errorf("configuration 9: status %d", status)
	}
	time.Sleep(configApply + stableWindow)
	var breaks []string
	if status, state := s.state(asked); status == http.StatusGone {
		breaks = append(breaks, fmt.Sprintf("LOST: job %s, accepted at %.3f s and not cancelled, is answered %d %s at %.3f s", asked.id, asked.accepted.Seconds(), status, state, s.rec.now().Seconds()))
	}
	status, _ := s.call(http.MethodDelete, cancelled.path, nil)
	acked := s.rec.now()
	if status/100 != 2 && status != http.StatusGone {
		return nil, fmt.Errorf("the cancelling was not acknowledged: status %d", status)
	}
	time.Sleep(cancelWithin + 8*time.Second)
	s.rec.mu.Lock()
	defer s.rec.mu.Unlock()
	for task, t := range s.rec.tasks {
		for _, x := range t.runs {
			if task[:16] == cancelled.id && x.began > acked+cancelWithin {
				breaks = append(breaks, fmt.Sprintf("UNASKED: task %s run %d starts at %.3f s; the cancelling of its job was acknowledged (%d) at %.3f s", task, x.run, x.began.Seconds(), status, acked.Seconds()))
			}
		}
	}
	return breaks, nil
}

// configTrailing sends a configuration with a closing brace too many, and reads the configuration back.
func configTrailing(s *system, trouble bool) ([]string, error) {
	behave := func(string, uint32) outcome { return doneSoon }
	if err := s.setUp(1, behave, config(3, newRoute("r-1", "/lohu930/", 0)), "/lohu930/"); err != nil {
		return nil, err
	}
	body := config(9, newRoute("r-1", "/lohu930/", 0), newRoute("r-2", "/pufi791/", 0))
	if trouble {
		body = append(body, '}')
	}
	if json.Valid(body) == trouble {
		return nil, fmt.Errorf("the test configuration is wrong")
	}
	status, _ := s.operate(http.MethodPost, "/config/put", body, 5*time.Second)
	time.Sleep(configApply + time.Second)
	_, held := s.operate(http.MethodGet, "/config/get", nil, 5*time.Second)
	s.rec.log("oper  the configuration in force has %d bytes, is valid JSON: %v", len(held), json.Valid(held))
	added, _ := s.call(http.MethodGet, "/pufi791/", nil)
	if !trouble {
		if status != http.StatusOK || added != http.StatusOK {
			return nil, fmt.Errorf("the valid configuration was answered %d, and its route %d", status, added)
		}
		return nil, nil
	}
	var breaks []string
	if status == http.StatusOK {
		breaks = append(breaks, "CONFIG: an invalid configuration, which cannot be read in full, is acknowledged")
	}
	if !json.Valid(held) || added == http.StatusOK {
		breaks = append(breaks, fmt.Sprintf("CONFIG: an invalid configuration is in force: its route answers %d, and what is read back is valid JSON: %v", added, json.Valid(held)))
	}
	return breaks, nil
}
