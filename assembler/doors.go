package assembler

import (
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"

	"briarspring/limiter"
)

// ClientLimits bounds what clients can take of a host, at all its addresses together.
type ClientLimits struct {
	Bytes       int64         // For connections, unfinished requests and unread responses; zero for no limits.
	Connections int           // Zero for as many as Bytes allows.
	Grace       time.Duration // Younger requests are shed only if there is no older one.
	Stall       time.Duration // Longest time without a byte from a client, or without one that it reads.
	Request     time.Duration // Longest time for a whole request to arrive.
}

// Doors of a host.
const (
	callersDoor   = "callers"
	readyDoor     = "ready"
	metricsDoor   = "metrics"
	operatorsDoor = "operators"
)

// Parts of the limits that a door has, in sixteenths. Callers can't take the room of
// the balancer, the metrics and the operators.
var doorParts = map[string]int64{callersDoor: 12, operatorsDoor: 2, readyDoor: 1, metricsDoor: 1}

const (
	wholeParts = 16
	// connectionBytes is what a connection occupies without its requests: two buffers
	// of 4 KiB and the stack of a goroutine. 400 connections that sent nothing took less.
	connectionBytes = 16 << 10
	// minDoorConnections is what each door has at least.
	minDoorConnections = 4
)

// protector limits the clients of a server, and returns the listener on which the
// server must serve.
type protector = func(*http.Server, net.Listener) net.Listener

// doors are the limits of a host's addresses. A nil value sets none.
type doors struct {
	limiter *limiter.Limiter
	limits  ClientLimits
}

func newDoors(c ClientLimits, logger hclog.Logger) *doors {
	if c.Bytes == 0 {
		return nil
	}
	return &doors{limits: c, limiter: limiter.New(limiter.Config{
		Grace: c.Grace, Stall: c.Stall, Request: c.Request, Logger: logger,
	})}
}

// bytes returns the part of the bytes that a door has.
func (d *doors) bytes(name string) int64 { return d.limits.Bytes * doorParts[name] / wholeParts }

// protect returns the protector of a door; one that does nothing if there are no
// limits.
func (d *doors) protect(name string) protector {
	if d == nil {
		return func(_ *http.Server, l net.Listener) net.Listener { return l }
	}
	return func(server *http.Server, l net.Listener) net.Listener {
		// Connections take at most half of the bytes.
		connections := int(d.bytes(name) / 2 / connectionBytes)
		if d.limits.Connections > 0 {
			connections = min(connections, d.limits.Connections*int(doorParts[name])/wholeParts)
		}
		door := d.limiter.NewDoor(limiter.DoorConfig{
			Name: name, Bytes: d.bytes(name), Connections: max(connections, minDoorConnections), ConnectionBytes: connectionBytes,
		})
		door.Attach(server)
		return door.Listen(l)
	}
}

// buffered returns a handler that reads operators' calls within a door's limits before
// it passes them on.
func (d *doors) buffered(name string, h http.Handler) http.Handler {
	if d == nil {
		return h
	}
	return bufferedCalls(h, d.bytes(name))
}

// callOptions returns the options of handlers that buffered calls are passed to.
func (d *doors) callOptions() []connect.HandlerOption {
	if d == nil {
		return nil
	}
	return callOptions()
}
