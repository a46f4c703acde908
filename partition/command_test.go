package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against a log entry or a snapshot that was written and cannot be read, which ends every
// replica of the partition.
func TestTextThatIsNotUTF8IsDecoded(t *testing.T) {
	c := qt.New(t)
	announcement := api.Announcement{Worker: "w-\xff"}
	data := encode(batch{Epoch: 1, Commands: []cbor.RawMessage{encode(command{Worker: &workerCommand{Announcement: announcement}})}})
	_, commands, err := decodeBatch(data)
	c.Assert(err, qt.IsNil)
	c.Assert(commands[0].Worker.Announcement.Worker, qt.Equals, announcement.Worker)
	p := New(Config{Name: "north"}, newFirstFitScheduler)
	c.Assert(p.Restore(encode(snapshot{Version: snapshotVersion, Workers: []api.Announcement{announcement}})), qt.IsNil)
	c.Assert(p.announcements(), qt.HasLen, 1)
}
