package dispatch

// A worker does nothing for an order with a lower fencing token than it has seen, and all
// incarnations of a worker get their orders under one name and address. So a token is the term of the
// leader with the generation of the incarnation below it, and the first order to an incarnation makes
// its process refuse all orders for earlier ones that arrive later. A worker that has not answered gets a
// new generation too, since it may have started again.

// generationBits is the number of bits of a fencing token below the term. Tokens stay below 2^53, the
// largest range of integers that all JSON decoders keep, up to term 2^29.
const generationBits = 24

// fencingToken returns the token of the orders to a worker incarnation.
func (s *Scheduler) fencingToken(w *worker) uint64 { return s.term<<generationBits | w.generation }

// renewGeneration makes the token of a worker incarnation higher than all tokens of this term. The
// leadership ends when a term has no more generations.
func (s *Scheduler) renewGeneration(w *worker) {
	if s.lastGeneration == 1<<generationBits-1 {
		s.actions = append(s.actions, StepDown{})
		return
	}
	s.lastGeneration++
	w.generation = s.lastGeneration
}

// isOutdated reports whether this leader may have sent the worker an order with a higher token since: for
// another incarnation, or with a newer generation.
func (s *Scheduler) isOutdated(o Order, w *worker) bool {
	return w.isOver || w.hasSuccessor || o.FencingToken != s.fencingToken(w)
}
