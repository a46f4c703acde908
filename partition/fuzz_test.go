package partition

import (
	"encoding/json"
	"testing"

	"github.com/oleanderchute/oleanderchute/api"
)

// FuzzSyncResponse guards against an answer of a worker that stops the owner, or that
// gives a request an outcome although its task was never sent.
func FuzzSyncResponse(f *testing.F) {
	f.Add([]byte(`{"worker":"w1","incarnation":"i1","token":5,"running":[{"caller":"c","key":"k","attempt":65537}]}`))
	f.Add([]byte(`{"worker":"w1","incarnation":"i1","token":5,"ended":[{"task":{"caller":"c","key":"queued","attempt":1},"kind":"done","answer":"eA==","answer_length":1}]}`))
	f.Add([]byte(`{"worker":"w1","incarnation":"i2","token":-1,"stale_epoch":9,"usage":[{"task":{},"used":{"milli_cpu":-5}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r api.SyncResponse
		if json.Unmarshal(data, &r) != nil {
			return
		}
		b := newBench(t)
		b.worker("w1", "i1")
		b.started("k", nil)
		b.submit("queued", func(s *Submit) { s.Request.Resources.MilliCPU = 1 << 40 })
		b.commit()
		b.step(SyncAnswered{Worker: "w1", Sequence: b.syncs["w1"].Sequence, Response: r})
		b.commit()
		b.pass(ms)
		b.commit()
		if st := b.status("queued"); st.IsOutcome() && st != api.StateNotRun {
			t.Fatalf("a request that was never sent is %s", st)
		}
	})
}
