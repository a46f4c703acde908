// Package cell runs a cell: the VMs that take jobs from callers, keep them in one
// replicated log and place their tasks on workers. Keepers have a disk and a replica;
// one of them leads. Entry VMs hold nothing and pass calls on to the leader.
//
// The package knows callers, operators, workers and the advisor by the interfaces in
// ports.go; how they are spoken to is up to the program that embeds it.
package cell
