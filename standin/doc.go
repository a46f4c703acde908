// Package standin is a backend server for tests. It speaks the worker's side of the
// protocol, pretends to run tasks, can be told to fail in many ways, and keeps a
// journal of what it ran by which tests judge the scheduler.
//
// It does not enforce its declared capacity: a dispatch beyond it is started and shows
// up in the journal, so that a fault of the scheduler is not hidden by a refusal.
package standin
