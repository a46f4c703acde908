package integration

import (
	"fmt"
	"net"
	"os"
	"sync"

	qt "github.com/frankban/quicktest"
)

// Ports are taken from below the kernel's ephemeral port range, so that no outgoing connection
// takes the port of a process that is to be restarted.
const (
	firstPort = 12000
	portCount = 20000
)

var ports struct {
	sync.Mutex
	next int // the last port offset tried; guarded by the mutex
}

// freeAddress returns an address of the host on which nothing listens.
func freeAddress(c *qt.C, host string) string {
	c.Helper()
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		ports.next = os.Getpid() * 97 // concurrent test processes start at different ports
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
