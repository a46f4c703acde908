package cell

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/replica"
)

// newRecordingLogger returns a logger that appends the decoded lines to out.
func newRecordingLogger(out *[]map[string]any) *zap.Logger {
	sink := zapcore.AddSync(writerFunc(func(line []byte) {
		fields := map[string]any{}
		if err := json.Unmarshal(line, &fields); err != nil {
			panic(err)
		}
		*out = append(*out, fields)
	}))
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), sink, zapcore.InfoLevel))
}

// writerFunc is an io.Writer that passes each write to a function.
type writerFunc func([]byte)

func (f writerFunc) Write(p []byte) (int, error) { f(p); return len(p), nil }

// Guards against a slow leader whose logs do not say whether its event loop is behind and with
// which events, or whether the process lacks processor time.
func TestLeaderLogsItsLoad(t *testing.T) {
	c := qt.New(t)
	var logged []map[string]any
	l := newLoopLoad(newMetrics(), newRecordingLogger(&logged))
	l.observe(callKind, 30*time.Millisecond, 5*time.Millisecond)
	l.observe(callKind, 10*time.Millisecond, 2*time.Millisecond)
	l.observe(replica.StepKind, 0, 9*time.Millisecond)
	l.logIfDue(loadLogInterval-1, dispatch.Load{}, 6)
	c.Assert(logged, qt.HasLen, 0)
	l.logIfDue(loadLogInterval, dispatch.Load{OpenJobs: 3}, 7)
	c.Assert(logged, qt.HasLen, 1)
	fields := logged[0]
	c.Assert(fields["events"], qt.Equals, 2.0)
	c.Assert(fields["event_wait_mean"], qt.Equals, 0.02)
	c.Assert(fields["event_wait_max"], qt.Equals, 0.03)
	c.Assert(fields["busy_ms"], qt.DeepEquals, map[string]any{callKind: 7.0, replica.StepKind: 9.0})
	c.Assert(fields["entries"], qt.Equals, 7.0)

	l.logIfDue(2*loadLogInterval, dispatch.Load{}, 9)
	c.Assert(logged[1]["events"], qt.Equals, 0.0)
	c.Assert(logged[1]["entries"], qt.Equals, 2.0)
}

// Guards against a quantile that is taken from the wrong bucket.
func TestQuantileOfCounts(t *testing.T) {
	c := qt.New(t)
	counts, bounds := []uint64{2, 5, 3}, []float64{-1, 0.001, 0.010, 0.100}
	c.Assert(quantile(counts, bounds, 0), qt.Equals, time.Duration(0))
	c.Assert(quantile(counts, bounds, 5), qt.Equals, time.Millisecond)
	c.Assert(quantile(counts, bounds, 9), qt.Equals, 10*time.Millisecond)
}
