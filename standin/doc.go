// Package standin implements a simulated backend server for tests. It speaks the
// worker's side of the protocol, simulates task execution, injects faults on request,
// and journals every event so that tests can verify the scheduler's guarantees.
//
// It does not enforce its declared capacity: it starts a dispatch that exceeds the
// capacity and journals it, so that a refusal does not hide a scheduler fault.
package standin
