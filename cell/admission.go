package cell

import (
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/job"
)

// rejectJob logs and counts the rejection of a job, of which nothing is stored, and returns the reply.
func (h *replicaHost) rejectJob(id job.ID, q *job.Queue, a dispatch.Admission) Reply {
	h.node.metrics.rejectedJobs.WithLabelValues(q.Name).Inc()
	h.node.log.Info("job rejected", zap.Stringer("job", id), zap.String("route", q.Name), zap.String("reason", a.Reason),
		zap.Int64("expected_start_ms", a.ExpectedStart.Milliseconds()), zap.Int64("limit_ms", a.Limit.Milliseconds()),
		zap.Float64("work_ahead_core_s", a.WorkAhead), zap.Int64("retry_after_ms", a.RetryAfter.Milliseconds()),
		zap.Int64("version", h.state.Config().Version))
	return Reply{Code: Overloaded, Text: "the job was not accepted and has not run: " + a.Reason, RetryAfterMillis: a.RetryAfter.Milliseconds()}
}
