package cell

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/dispatch"
)

// Guards against learned speeds that operators cannot see, or that are shown under the wrong label.
func TestMetricsShowWorkerSpeeds(t *testing.T) {
	m := newMetrics()
	m.setLoad(dispatch.Load{Speeds: dispatch.SpeedSpread{Slowest: 0.75, Median: 1, Fastest: 1.25}})
	families, err := m.registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	got := map[string]float64{}
	for _, f := range families {
		if f.GetName() == "oleander_cell_worker_speed" {
			for _, metric := range f.GetMetric() {
				got[metric.GetLabel()[0].GetValue()] = metric.GetGauge().GetValue()
			}
		}
	}
	qt.Assert(t, got, qt.DeepEquals, map[string]float64{"slowest": 0.75, "median": 1, "fastest": 1.25})
}
