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
