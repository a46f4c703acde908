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

// program is what a task does, taken from its body if that is a JSON object.
type program struct {
	// RunMillis is the run time in milliseconds; absent means the worker's default.
	RunMillis *int64 `json:"run_ms"`
	// Answer replaces the echo of the body. AnswerBytes, if positive, is the length of
	// a generated answer in bytes, up to api.MaxBodyBytes.
	Answer      *string `json:"answer"`
	AnswerBytes int     `json:"answer_bytes"`
	Fail        bool    `json:"fail"`
	// AnswerIndex makes the answer the decimal index of the task in its gang.
	AnswerIndex bool `json:"answer_index"`
	// Used replaces the dispatched resources in usage reports.
	Used *api.Resources `json:"used"`
}

func parseProgram(body []byte) program {
	var p program
	if json.Unmarshal(body, &p) != nil {
		return program{}
	}
	return p
}

func (p program) runTime(standard time.Duration) time.Duration {
	if p.RunMillis == nil {
		return standard
	}
	return time.Duration(max(*p.RunMillis, 0)) * time.Millisecond
}

// taskAnswer returns the answer of one task of a gang; a single task has index 0.
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

// setAnswer puts an answer with its length and digest into an end.
func setAnswer(end *api.TaskEnd, answer []byte) {
	sum := sha256.Sum256(answer)
	end.Answer, end.AnswerLength, end.AnswerDigest = answer, len(answer), hex.EncodeToString(sum[:])
}
