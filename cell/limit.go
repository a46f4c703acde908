package cell

// checkLimit rejects a job that can never run within the limit of the account of its caller.
func (h *replicaHost) checkLimit(c Call) (reply Reply, exceeds bool) {
	if c.Key == nil {
		return Reply{}, false
	}
	account := h.state.AccountByKey(*c.Key)
	if account == nil {
		return Reply{}, false
	}
	reason, exceeds := h.scheduler.ExceedsLimit(c.Spec, account.Name)
	return Reply{Code: LimitExceeded, Text: reason}, exceeds
}
