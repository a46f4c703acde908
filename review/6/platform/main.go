// Command standin-2 plays the cases of the second review. It starts the programs of the deploy file as
// processes on loopback addresses, with stand-ins for clients, workers, the operator and the platform, and
// writes what was sent, answered and run to a record.
//
// Usage: standin-2 CASE RECORD. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases play a case and report whether the rule was broken.
var cases = map[string]func(rec *recorder, trouble bool) (broken bool, err error){
	"failed-services": failedServices,
	"spare-capacity":  spareCapacity,
	"cancelled":       cancelled,
	"large-gang":      largeGang,
	"tenant-limit":    tenantLimit,
}

// maxDuration is the longest time that a case may take.
const maxDuration = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return 2
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.file.Close()
	time.AfterFunc(maxDuration, func() {
		rec.say("the case took too long")
		os.Exit(2) // ends the processes too, by their Pdeathsig
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return 2
	case broken:
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
