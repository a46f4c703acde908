// Package cell runs the VMs of a cell. They accept jobs from callers, store them in one
// replicated log and place their tasks on workers. Keepers have a disk and a replica, and
// one of them is the leader. Entry VMs are stateless and forward calls to the leader.
//
// The package reaches workers and the advisor through the interfaces in ports.go. The
// protocols for callers, operators, workers and the advisor belong to the program that
// uses the package.
package cell
