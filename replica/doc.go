// Package replica drives raft nodes: it persists, sends and applies what a node hands out,
// and moves the membership of a group to what its leader wants. One goroutine, the Loop,
// owns all nodes and their state machines.
package replica
