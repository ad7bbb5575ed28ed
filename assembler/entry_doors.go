package assembler

import (
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/limiter"
	"briarspring/loader"
	"briarspring/monitor"
)

// Limits of the admin port of a gateway or a scheduler, which scrapers and balancers
// use.
const (
	adminConnections = 64
	adminBytes       = 4 << 20
)

const (
	// entryGrace is the age below which a request is shed only if there is no older one.
	entryGrace = time.Second
	// operatorsRequestTime bounds the time for a whole operators' call to arrive.
	operatorsRequestTime = time.Minute
)

// entryDoors are the limits of the addresses of a gateway or a scheduler.
type entryDoors struct {
	limiter *limiter.Limiter
	clients limiter.DoorConfig // Of the callers or the operators.
}

func newGatewayDoors(g loader.Gateway, logger hclog.Logger) *entryDoors {
	// The forwarder ends the read of a body at the request's deadline, so a request
	// has at most that time.
	return newEntryDoors(g.StallTime, g.MaxTimeout, logger, limiter.DoorConfig{
		Name: callersDoor, Bytes: g.MaxBuffered, Connections: int(g.MaxConnections),
		RefusalHeader: briarspring.HeaderOutcome + ": " + string(briarspring.OutcomeNotRun),
	})
}

func newSchedulerDoors(s loader.Scheduler, logger hclog.Logger) *entryDoors {
	// Connections take at most half of the bytes.
	connections := min(s.MaxConnections, s.MaxBuffered/2/connectionBytes)
	return newEntryDoors(s.StallTime, operatorsRequestTime, logger, limiter.DoorConfig{
		Name: operatorsDoor, Bytes: s.MaxBuffered, Connections: max(int(connections), minDoorConnections),
		ConnectionBytes: connectionBytes,
	})
}

func newEntryDoors(stall, request time.Duration, logger hclog.Logger, clients limiter.DoorConfig) *entryDoors {
	return &entryDoors{clients: clients, limiter: limiter.New(limiter.Config{
		Grace: entryGrace, Stall: stall, Request: request, Logger: logger,
	})}
}

// protectClients limits the connections and bodies of callers or operators.
func (d *entryDoors) protectClients(server *http.Server, l net.Listener) net.Listener {
	return d.protect(server, l, d.clients)
}

// protectAdmin limits the clients of the admin port.
func (d *entryDoors) protectAdmin(server *http.Server, l net.Listener) net.Listener {
	return d.protect(server, l, limiter.DoorConfig{
		Name: "admin", Bytes: adminBytes, Connections: adminConnections, ConnectionBytes: connectionBytes,
	})
}

func (d *entryDoors) protect(server *http.Server, l net.Listener, c limiter.DoorConfig) net.Listener {
	door := d.limiter.NewDoor(c)
	door.Attach(server)
	return door.Listen(l)
}

// buffered returns a handler that reads operators' calls within the limits before it
// passes them on.
func (d *entryDoors) buffered(h http.Handler) http.Handler {
	return bufferedCalls(h, d.clients.Bytes)
}

// publish adds the counters to the metrics.
func (d *entryDoors) publish(m *monitor.Monitor) {
	m.Publish("clients", expvar.Func(func() any { return d.limiter.Snapshot() }))
}
