// Package dispatch is the leader's side of a cell, without input or output: it takes what
// workers, the advisor and the log say, with the time, and returns what to propose and
// which orders to send. It keeps soft state only; a new leader builds it from the
// replicated job.State and the workers' first answers.
//
// An order for a task is sent only after its claim is committed, an end is acknowledged to
// its worker only after it is committed, and a claim is given up only when its run has
// certainly ended or can certainly not start any more.
package dispatch
