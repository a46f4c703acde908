package standin

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// ReadJournal returns the events of a journal in order. It skips an incomplete last line,
// which a process killed while writing leaves; any other corruption is an error.
func ReadJournal(path string) ([]Event, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read journal")
	}
	var events []Event
	for i, line := range bytes.Split(data[:completeLinesLength(data)], []byte("\n")) {
		if len(line) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, errors.Wrapf(err, "%s line %d", path, i+1)
		}
		events = append(events, e)
	}
	return events, nil
}

// completeLinesLength returns the length in bytes of data up to and including its last
// newline.
func completeLinesLength(data []byte) int { return bytes.LastIndexByte(data, '\n') + 1 }
