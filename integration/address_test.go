package integration

import (
	"fmt"
	"net"
	"os"
	"sync"

	qt "github.com/frankban/quicktest"
)

// Ports come from below the range that the kernel uses for outgoing connections, so that
// a process can be started again on its port.
const (
	firstPort = 12000
	portCount = 20000
)

var ports struct {
	sync.Mutex
	next int // guarded by the mutex
}

// freeAddress returns an address of the host that nothing listens on.
func freeAddress(c *qt.C, host string) string {
	c.Helper()
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		ports.next = os.Getpid() * 97 // runs at the same time start at different ports
	}
	for range portCount {
		ports.next++
		address := fmt.Sprintf("%s:%d", host, firstPort+ports.next%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	c.Fatalf("no free port on %s", host)
	return ""
}
