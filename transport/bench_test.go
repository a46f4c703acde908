package transport

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkCall measures sequential calls over the loopback interface.
func BenchmarkCall(b *testing.B) {
	s, _ := startServer(qt.New(b), ServerOptions{})
	p := startPeer(qt.New(b), s.Addr().String(), PeerOptions{})
	b.ReportAllocs()
	for b.Loop() {
		if err := p.Call(context.Background(), "Test.Mark", &NumberArgs{1}, &NumberArgs{}); err != nil {
			b.Fatal(err)
		}
	}
}
