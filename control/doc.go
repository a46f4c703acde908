// Package control is the state machine of the control group: the routes and pools
// tables, the VMs, and the replicas of each partition. It also holds the checks of the
// tables, the problem log of a VM and the format of the table file.
//
// The package has no sockets, files, timers, goroutines, clock or random source. Time
// is an argument, and the same input gives the same output on every VM. No type is
// safe for concurrent use unless its comment says so.
package control
