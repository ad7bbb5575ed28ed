package demonstrator

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports for a system on one machine. They lie below the kernel's ephemeral range,
// so that no outgoing connection takes a port before its process listens on it.
const (
	firstPort = 20000
	lastPort  = 32000
	// portSpread is both the number of first ports, chosen by process id, and the
	// distance between them, so that processes that start together try different
	// ports.
	portSpread = 100
)

var ports = struct {
	sync.Mutex
	nextPort int
}{nextPort: firstPort + os.Getpid()%portSpread*portSpread}

// NoFreePortError reports that no port of the range is free.
type NoFreePortError struct{}

// Error implements error.
func (*NoFreePortError) Error() string {
	return fmt.Sprintf("no port from %d to %d is free", firstPort, lastPort)
}

// FreeAddress returns a loopback address on which no process listens over TCP or
// UDP, and which it has not returned before.
func FreeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for ports.nextPort < lastPort {
		address := fmt.Sprintf("127.0.0.1:%d", ports.nextPort)
		ports.nextPort++
		if isFree(address) {
			return address, nil
		}
	}
	return "", &NoFreePortError{}
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	u.Close()
	return true
}
