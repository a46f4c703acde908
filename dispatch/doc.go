// Package dispatch implements the scheduler that runs on the leader of a cell. It does no I/O:
// it receives the time and the events from workers, the advisor and the log, and returns the
// operations to propose and the orders to send. It holds soft state only, which a new leader
// rebuilds from the replicated job.State and the first reports of the workers.
//
// It keeps three rules. The start of a task is sent only after its claim is committed. The end
// of a run is acknowledged to its worker only after the end is committed. A claim is released
// only when its run has certainly ended or can certainly not start any more.
package dispatch
