package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/job"
)

// carryOut carries out what the scheduler decided. Orders run on goroutines of their own
// and bring their replies back to the loop.
func (h *host) carryOut(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Propose:
			h.propose(nil, a.Ops...)
		case dispatch.RenewLease:
			h.sendHold(a)
		case dispatch.Start:
			h.sendStart(a)
		case dispatch.Stop:
			h.sendStop(a)
		case dispatch.Advise:
			h.sendAdvise(a)
		case dispatch.StepDown:
			h.group.Node.StepDown()
		}
	}
}

// reply runs fn on the loop if this replica still leads in the term of the order.
func (h *host) reply(epoch uint64, fn func(now time.Duration)) {
	h.n.loop.Post(func() {
		if h.epoch == epoch {
			fn(h.n.loop.Now())
		}
	})
}

func (h *host) sendHold(o dispatch.RenewLease) {
	epoch, sent := h.epoch, h.n.loop.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), o.MaxWait+holdGrace)
		defer cancel()
		reply, report := h.n.workers.RenewLease(ctx, o)
		h.n.metrics.orders.WithLabelValues("hold", reply.String()).Inc()
		h.reply(epoch, func(now time.Duration) { h.sched.Reported(now, o.Worker.Number, sent, reply, report) })
	}()
}

func (h *host) sendStart(o dispatch.Start) {
	h.sendOrder("start",
		func(ctx context.Context) (dispatch.Reply, int64) { return h.n.workers.Start(ctx, o) },
		func(now time.Duration, reply dispatch.Reply, clock int64) {
			h.sched.Started(now, o.Task, o.Run, reply, clock)
		})
}

func (h *host) sendStop(o dispatch.Stop) {
	h.sendOrder("stop",
		func(ctx context.Context) (dispatch.Reply, int64) { return h.n.workers.Stop(ctx, o) },
		func(now time.Duration, reply dispatch.Reply, clock int64) {
			h.sched.Stopped(now, o.Task, o.Run, reply, clock)
		})
}

// sendOrder sends a start or a stop and brings its reply, with the worker's clock, to the loop.
func (h *host) sendOrder(kind string, send func(ctx context.Context) (dispatch.Reply, int64), replied func(now time.Duration, reply dispatch.Reply, clock int64)) {
	epoch := h.epoch
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		began := time.Now()
		reply, clock := send(ctx)
		h.n.metrics.ordered(kind, reply, time.Since(began))
		h.reply(epoch, func(now time.Duration) { replied(now, reply, clock) })
	}()
}

// sendAdvise asks the advisor through another VM, or from here.
func (h *host) sendAdvise(a dispatch.Advise) {
	epoch := h.epoch
	args := AdviseArgs{Step: a.Step, TimeoutMillis: a.Timeout.Milliseconds()}
	numbers := map[string]uint32{}
	for _, w := range a.Workers {
		args.Workers = append(args.Workers, w.Name)
		numbers[w.Name] = w.Number
	}
	go func() {
		answer, err := h.n.adviseVia(a.Via, args)
		if err != nil {
			h.n.log.Info("advisor not reached", zap.String("via", a.Via), zap.Stringer("step", a.Step), zap.Error(err))
		}
		var granted []dispatch.Ticket
		for _, g := range answer.Grants {
			if number, ok := numbers[g.Worker]; ok {
				granted = append(granted, dispatch.Ticket{Worker: number, Value: g.Ticket})
			}
		}
		valid := time.Duration(answer.ValidMillis) * time.Millisecond
		h.reply(epoch, func(now time.Duration) { h.sched.Advised(now, a.Via, a.Step, a.Workers, granted, valid, err == nil) })
	}()
}

// adviseVia asks through the VM at an address.
func (n *Node) adviseVia(address string, args AdviseArgs) (AdviseReply, error) {
	if address == n.settings.Address {
		return n.advise(args)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(args.TimeoutMillis)*time.Millisecond+callTimeout/3)
	defer cancel()
	var reply AdviseReply
	err := n.peers.callLong(ctx, address, "Advise", args, &reply)
	return reply, err
}

// decisionLogger writes decisions as log lines and counts them.
func decisionLogger(log *zap.Logger, m *metrics) func(dispatch.Decision) {
	return func(d dispatch.Decision) {
		m.decisions.WithLabelValues(d.Event).Inc()
		fields := make([]zap.Field, 0, 8)
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
		if d.Reason != "" {
			fields = append(fields, zap.String("reason", d.Reason))
		}
		if d.InputAge != 0 {
			fields = append(fields, zap.Int64("age_ms", d.InputAge.Milliseconds()))
		}
		if d.ConfigVersion != 0 {
			fields = append(fields, zap.Int64("version", d.ConfigVersion))
		}
		log.Info(d.Event, fields...)
	}
}
