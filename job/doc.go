// Package job holds the job model and the replicated state of a cell: the configuration
// (queues and pools, joined by name), jobs with their steps and tasks, worker lives and
// members. It has no input or output: State.Apply takes one committed batch of operations
// and gives the same result on every replica.
package job
