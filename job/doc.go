// Package job holds the job model and the replicated state of a cell: the configuration
// (queues and pools, linked by name), jobs with their steps and tasks, worker incarnations
// and members. It does no I/O: State.Apply applies the operations of committed batches and
// gives the same result on every replica.
package job
