package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// program describes the simulated behavior of a task. It is decoded from the task body
// if that is a JSON object.
type program struct {
	// RunMillis is the run time in milliseconds; nil means the worker's default.
	RunMillis *int64 `json:"run_ms"`
	// Answer is returned instead of the body, which is echoed by default. AnswerBytes, if
	// positive, is the length in bytes of a generated answer, up to api.MaxBodyBytes.
	Answer      *string `json:"answer"`
	AnswerBytes int     `json:"answer_bytes"`
	Fail        bool    `json:"fail"`
	// AnswerIndex makes the task answer with its index in the gang, in decimal.
	AnswerIndex bool `json:"answer_index"`
	// Used is reported as the usage instead of the dispatched resources.
	Used *api.Resources `json:"used"`
}

func parseProgram(body []byte) program {
	var p program
	if json.Unmarshal(body, &p) != nil {
		return program{}
	}
	return p
}

// runTime returns the run time of the task, or fallback if the body sets none.
func (p program) runTime(fallback time.Duration) time.Duration {
	if p.RunMillis == nil {
		return fallback
	}
	return time.Duration(max(*p.RunMillis, 0)) * time.Millisecond
}

// taskAnswer returns the answer of the task with the given index in its gang. A task
// without a gang has index 0.
func (p program) taskAnswer(body []byte, index int) []byte {
	if p.AnswerIndex {
		return strconv.AppendInt(nil, int64(index), 10)
	}
	return p.answer(body)
}

func (p program) answer(body []byte) []byte {
	switch {
	case p.AnswerBytes > 0:
		return bytes.Repeat([]byte("a"), min(p.AnswerBytes, api.MaxBodyBytes))
	case p.Answer != nil:
		return []byte(*p.Answer)
	default:
		return body
	}
}

// setAnswer sets the answer of end with its length and SHA-256 digest.
func setAnswer(end *api.TaskEnd, answer []byte) {
	sum := sha256.Sum256(answer)
	end.Answer, end.AnswerLength, end.AnswerDigest = answer, len(answer), hex.EncodeToString(sum[:])
}
