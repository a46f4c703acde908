// Package control implements the replicated state machine of the control group. Its
// state is the route and pool tables, the registered VMs and the replicas of each
// partition. The package also validates tables, parses and formats table files, and
// collects the configuration problems that a VM observes at run time.
//
// The package is deterministic: it uses no sockets, files, timers, goroutines, clock or
// random source. Time is passed as an argument, and the same input gives the same output
// on every VM. Types are not safe for concurrent use unless their comment says so.
package control
