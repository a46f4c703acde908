package integration

import (
	"fmt"
	"maps"

	"github.com/anishathalye/porcupine"
)

// changeInput is the input of one apply call: the change id and the base version.
type changeInput struct {
	id   string
	base uint64
}

// changeOutput is the definite response to an apply call.
type changeOutput struct {
	accepted bool
	version  uint64
}

// changeState is the version in force and the first response to each change id. It is
// never modified; each step returns a new state.
type changeState struct {
	version        uint64
	firstResponses map[string]changeOutput
}

// changeModel is a version register. A change whose base is the version in force is accepted
// and increments the version. Any other change is rejected with the version in force. A resent
// change gets the response of its first copy.
var changeModel = porcupine.Model{
	Init: func() interface{} { return changeState{firstResponses: map[string]changeOutput{}} },
	Step: func(state, input, output interface{}) (bool, interface{}) {
		s, in, out := state.(changeState), input.(changeInput), output.(changeOutput)
		if first, ok := s.firstResponses[in.id]; ok {
			return out == first, s
		}
		want := changeOutput{version: s.version}
		if in.base == s.version {
			want = changeOutput{accepted: true, version: s.version + 1}
		}
		if out != want {
			return false, s
		}
		next := changeState{version: want.version, firstResponses: maps.Clone(s.firstResponses)}
		next.firstResponses[in.id] = out
		return true, next
	},
	Equal: func(a, b interface{}) bool {
		x, y := a.(changeState), b.(changeState)
		return x.version == y.version && maps.Equal(x.firstResponses, y.firstResponses)
	},
	DescribeOperation: func(input, output interface{}) string {
		return fmt.Sprintf("apply(%+v) -> %+v", input, output)
	},
}
