package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/job"
)

// execute performs the scheduler's actions. Each order to a worker runs on its own
// goroutine and posts its reply to the event loop.
func (h *replicaHost) execute(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Propose:
			h.propose(nil, a.Ops...)
		case dispatch.RenewLease:
			h.sendRenewLease(a)
		case dispatch.Start:
			h.sendStart(a)
		case dispatch.Stop:
			h.sendStop(a)
		case dispatch.Advise:
			h.sendAdvise(a)
		case dispatch.ConfirmSignOff:
			h.confirmSignOff(a.Number, Reply{Code: OK})
		case dispatch.StepDown:
			h.group.Node.StepDown()
		}
	}
}

// postReply runs fn on the event loop if this replica is still the leader in the term in
// which the order was sent.
func (h *replicaHost) postReply(kind string, epoch uint64, fn func(now time.Duration)) {
	h.node.eventLoop.PostKind(kind, func() {
		if h.epoch == epoch {
			fn(h.node.eventLoop.Now())
		}
	})
}

func (h *replicaHost) sendRenewLease(o dispatch.RenewLease) {
	epoch, sent := h.epoch, h.node.eventLoop.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), o.MaxWait+renewLeaseGrace)
		defer cancel()
		reply, report := h.node.workers.RenewLease(ctx, o)
		h.node.metrics.orders.WithLabelValues("hold", reply.String()).Inc()
		h.postReply(renewalKind, epoch, func(now time.Duration) { h.scheduler.Reported(now, o, sent, reply, report) })
	}()
}

func (h *replicaHost) sendStart(o dispatch.Start) {
	h.sendOrder("start",
		func(ctx context.Context) dispatch.Reply { return h.node.workers.Start(ctx, o) },
		func(now time.Duration, reply dispatch.Reply) { h.scheduler.Started(now, o, reply) })
}

func (h *replicaHost) sendStop(o dispatch.Stop) {
	h.sendOrder("stop",
		func(ctx context.Context) dispatch.Reply { return h.node.workers.Stop(ctx, o) },
		func(now time.Duration, reply dispatch.Reply) { h.scheduler.Stopped(now, o, reply) })
}

// sendOrder sends a start or a stop and passes the reply to onReply on the event loop.
func (h *replicaHost) sendOrder(kind string, send func(ctx context.Context) dispatch.Reply, onReply func(now time.Duration, reply dispatch.Reply)) {
	epoch := h.epoch
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		began := time.Now()
		reply := send(ctx)
		h.node.metrics.recordOrder(kind, reply, time.Since(began))
		h.postReply(kind, epoch, func(now time.Duration) { onReply(now, reply) })
	}()
}

// sendAdvise calls the advisor through the VM that a.Via names, which may be this VM.
func (h *replicaHost) sendAdvise(a dispatch.Advise) {
	epoch := h.epoch
	args := AdviseArgs{Step: a.Step, TimeoutMillis: a.Timeout.Milliseconds()}
	numberByName := map[string]uint32{}
	for _, w := range a.Workers {
		args.Workers = append(args.Workers, w.Name)
		numberByName[w.Name] = w.Number
	}
	go func() {
		adviceReply, err := h.node.adviseVia(a.Via, args)
		if err != nil {
			h.node.log.Info("call to the advisor failed", zap.String("via", a.Via), zap.Stringer("step", a.Step), zap.Error(err))
		}
		var granted []dispatch.Ticket
		for _, g := range adviceReply.Grants {
			if number, ok := numberByName[g.Worker]; ok {
				granted = append(granted, dispatch.Ticket{Worker: number, Value: g.Ticket})
			}
		}
		valid := time.Duration(adviceReply.ValidMillis) * time.Millisecond
		h.postReply(adviceKind, epoch, func(now time.Duration) {
			h.scheduler.Advised(now, a.Via, a.Step, a.Workers, granted, valid, err == nil)
		})
	}()
}

// adviseVia calls the advisor through the VM at address.
func (n *Node) adviseVia(address string, args AdviseArgs) (AdviseReply, error) {
	if address == n.settings.Address {
		return n.advise(args)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(args.TimeoutMillis)*time.Millisecond+callTimeout/3)
	defer cancel()
	var reply AdviseReply
	err := n.peers.callBulk(ctx, address, "Advise", args, &reply)
	return reply, err
}

// decisionLogger returns a function that logs and counts the scheduler's decisions.
func decisionLogger(log *zap.Logger, m *metrics) func(dispatch.Decision) {
	return func(d dispatch.Decision) {
		m.decisions.WithLabelValues(d.Event).Inc()
		fields := make([]zap.Field, 0, 16)
		if d.Job != 0 {
			fields = append(fields, zap.Stringer("job", d.Job))
		}
		if d.Task != (job.TaskRef{}) {
			fields = append(fields, zap.Stringer("task", d.Task))
		}
		if d.Run != 0 {
			fields = append(fields, zap.Uint32("run", d.Run))
		}
		if d.Worker != "" {
			fields = append(fields, zap.String("worker", d.Worker))
		}
		if d.Incarnation != 0 {
			fields = append(fields, zap.Uint32("incarnation", d.Incarnation), zap.Int64("started_ms", d.StartedMillis), zap.Int64("clock_ms", d.ClockMillis),
				zap.Int64("lease_left_ms", d.LeaseLeft.Milliseconds()), zap.String("lease_basis", d.LeaseBasis))
		}
		if d.Reason != "" {
			fields = append(fields, zap.String("reason", d.Reason))
		}
		if d.InputAge != 0 {
			fields = append(fields, zap.Int64("age_ms", d.InputAge.Milliseconds()))
		}
		if d.Took != 0 {
			fields = append(fields, zap.Int64("queued_ms", d.Queued.Milliseconds()), zap.Int64("took_ms", d.Took.Milliseconds()))
			m.adviceSeconds.WithLabelValues("queued").Observe(d.Queued.Seconds())
			m.adviceSeconds.WithLabelValues("answer").Observe(d.Took.Seconds())
		}
		if d.ConfigVersion != 0 {
			fields = append(fields, zap.Int64("version", d.ConfigVersion))
		}
		log.Info(d.Event, fields...)
	}
}
