// Package replica runs raft nodes: it persists, sends and applies the Ready batches of a
// node, and changes the membership of a group to the desired one, step by step. The
// goroutine that runs the EventLoop owns all nodes and their state machines.
package replica
