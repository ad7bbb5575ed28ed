package assembler

import (
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/limiter"
	"briarspring/loader"
)

// Limits of a gateway's admin port, which scrapers and balancers use.
const (
	adminConnections = 64
	adminBytes       = 4 << 20
)

// gatewayGrace is the age below which a request is shed only if there is no older one.
const gatewayGrace = time.Second

// gatewayDoors are the limits of a gateway's addresses.
type gatewayDoors struct {
	limiter  *limiter.Limiter
	settings loader.Gateway
}

func newGatewayDoors(g loader.Gateway, logger hclog.Logger) *gatewayDoors {
	// The forwarder ends the read of a body at the request's deadline, so a request
	// has at most that time.
	return &gatewayDoors{settings: g, limiter: limiter.New(limiter.Config{
		Grace: gatewayGrace, Stall: g.StallTime, Request: g.MaxTimeout, Logger: logger,
	})}
}

// callers limits the callers' connections and bodies.
func (d *gatewayDoors) callers(server *http.Server, l net.Listener) net.Listener {
	return d.protect(server, l, limiter.DoorConfig{
		Name: callersDoor, Bytes: d.settings.MaxBuffered, Connections: int(d.settings.MaxConnections),
		RefusalHeader: briarspring.HeaderOutcome + ": " + string(briarspring.OutcomeNotRun),
	})
}

// admin limits the clients of the admin port.
func (d *gatewayDoors) admin(server *http.Server, l net.Listener) net.Listener {
	return d.protect(server, l, limiter.DoorConfig{
		Name: "admin", Bytes: adminBytes, Connections: adminConnections, ConnectionBytes: connectionBytes,
	})
}

func (d *gatewayDoors) protect(server *http.Server, l net.Listener, c limiter.DoorConfig) net.Listener {
	door := d.limiter.NewDoor(c)
	door.Attach(server)
	return door.Listen(l)
}
