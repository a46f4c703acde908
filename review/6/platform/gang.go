package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// largeGang hands in gangs that have to wait for one long task, and then small jobs of the same queue.
func largeGang(rec *recorder, trouble bool) (bool, error) {
	d, err := deploy(rec, 6, urgentQueue, normalQueue, batchQueue)
	if err != nil {
		return false, err
	}
	defer d.close()
	long := newJob(normalQueue, step{Count: 1, CPU: 9000, Memory: 9000, Estimate: 35000}, 40000)
	if err := d.submit(long); err != nil {
		return false, err
	}
	if !waitFor(5*time.Second, func() bool { return d.workerOf(long.task(0)) != nil }) {
		return false, fmt.Errorf("the long task did not start")
	}
	if trouble {
		const gangs = 20
		for range gangs {
			gang := newJob(normalQueue, step{Count: 12, CPU: 15000, Memory: 15000, Estimate: 16000, Gang: true}, 16000)
			time.Sleep(time.Duration(rand.Int64N(int64(50 * time.Millisecond))))
			if err := d.submit(gang); err != nil {
				return false, err
			}
		}
		rec.say("%d gangs of 12 tasks of 15 cores wait for a worker that a task of 40 s uses", gangs)
	}
	time.Sleep(time.Second)
	const smallJobs = 10
	size := step{Count: 1, CPU: 3000, Memory: 4000, Estimate: 1000}
	var jobs []*job
	for range smallJobs {
		time.Sleep(time.Duration(rand.Int64N(int64(100 * time.Millisecond))))
		j := newJob(normalQueue, size, 1000)
		if err := d.submit(j); err != nil {
			return false, err
		}
		jobs = append(jobs, j)
	}
	ended := time.Now()
	rec.say("%d small jobs are accepted; the traffic ends; %.0f%% of the capacity is in use", smallJobs, 100*d.usedShare())
	time.Sleep(14 * time.Second) // finish_s
	tasks := map[string]step{}
	for _, j := range jobs {
		if _, state := d.call(http.MethodGet, j, nil); state != "done" {
			tasks[j.task(0)] = size
		}
	}
	d.recordRunning()
	broken := d.watchIdle(4*time.Second, tasks)
	for _, j := range jobs {
		_, state := d.call(http.MethodGet, j, nil)
		rec.say("job %s of one task of 1 s: shown as %s %.0f s after it was accepted", j.id, state, time.Since(ended).Seconds())
	}
	return len(broken) > 0, nil
}

// tenantLimit hands in a gang that the limit of its tenant keeps waiting for one long task of the tenant, and then
// small jobs of the tenant on a less urgent queue.
func tenantLimit(rec *recorder, trouble bool) (bool, error) {
	d, err := deploy(rec, 8, urgentQueue, normalQueue, batchQueue)
	if err != nil {
		return false, err
	}
	defer d.close()
	const key, limit, longCPU = "k-3f9a1c", 100000, 20000
	config := configOf(8, urgentQueue, normalQueue, batchQueue)
	config["tenants"] = []map[string]any{
		{"name": "t-fleet", "api_keys": []string{key}, "weight": 10.0, "priority": 0, "max_count": map[string]int64{"cpu": limit, "mem_mb": 0, "gpu": 0}},
		{"name": "t-other", "api_keys": []string{"k-77b0e2"}, "weight": 10.0, "priority": 0, "max_count": map[string]int64{"cpu": limit, "mem_mb": 0, "gpu": 0}},
	}
	if err := d.putConfig(config); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // config_apply_ms
	long := newJob(normalQueue, step{Count: 1, CPU: longCPU, Memory: 9000, Estimate: 35000}, 40000)
	long.key = key
	if err := d.submit(long); err != nil {
		return false, err
	}
	if !waitFor(5*time.Second, func() bool { return d.workerOf(long.task(0)) != nil }) {
		return false, fmt.Errorf("the long task did not start")
	}
	if trouble {
		gang := newJob(normalQueue, step{Count: 12, CPU: 7500, Memory: 7500, Estimate: 10000, Gang: true}, 10000)
		gang.key = key
		if err := d.submit(gang); err != nil {
			return false, err
		}
		rec.say("a gang of 12 tasks of 7.5 cores waits: its tenant may have 100 cores, and a task of 40 s has %d", longCPU/1000)
	}
	time.Sleep(2 * time.Second)
	size := step{Count: 1, CPU: 3000, Memory: 4000, Estimate: 1000}
	var jobs []*job
	for range 5 {
		j := newJob(batchQueue, size, 1000)
		j.key = key
		if err := d.submit(j); err != nil {
			return false, err
		}
		jobs = append(jobs, j)
	}
	rec.say("5 small jobs of the tenant are accepted; the traffic ends; %.0f%% of the capacity is in use", 100*d.usedShare())
	ended := time.Now()
	time.Sleep(14 * time.Second) // finish_s
	tasks := map[string]step{}
	for _, j := range jobs {
		if _, state := d.call(http.MethodGet, j, nil); state != "done" {
			tasks[j.task(0)] = size
		}
	}
	d.recordRunning()
	broken := d.watchIdle(4*time.Second, tasks)
	for _, j := range jobs {
		_, state := d.call(http.MethodGet, j, nil)
		rec.say("job %s of one task of 1 s: shown as %s %.0f s after it was accepted", j.id, state, time.Since(ended).Seconds())
	}
	return len(broken) > 0, nil
}
