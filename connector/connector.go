// Package connector is the client of the platform's log, list of hosts and
// workers. Supporting another platform takes another such package.
package connector

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"briarspring"
	"briarspring/encoder"
	ppb "briarspring/gen/platform/v1"
	"briarspring/gen/platform/v1/platformv1connect"
)

const (
	headerCaller    = "Platform-Caller"
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
	pingIdle        = 5 * time.Second
	pingTimeout     = 3 * time.Second
	maxMessageBytes = 64 << 20
)

// Config holds the addresses of the platform.
type Config struct {
	LogAddress   string // "IP:port".
	HostsAddress string // "IP:port".
	Caller       string // Name of this process.
}

// Connector is a client of the platform.
type Connector struct {
	config Config
	client *http.Client
	log    platformv1connect.LogClient
	hosts  platformv1connect.HostsClient
}

// New returns a client. It connects on the first call.
func New(c Config) *Connector {
	// HTTP/2 compresses repeated headers to a few bytes. Without it, headers are
	// most of the traffic of an exchange with a worker.
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout: idleTimeout,
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingIdle, PingTimeout: pingTimeout},
	}}
	limit := connect.WithReadMaxBytes(maxMessageBytes)
	return &Connector{
		config: c,
		client: client,
		log:    platformv1connect.NewLogClient(client, "http://"+c.LogAddress, limit),
		hosts:  platformv1connect.NewHostsClient(client, "http://"+c.HostsAddress, limit),
	}
}

func newRequest[T any](c *Connector, m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set(headerCaller, c.config.Caller)
	return r
}

// Append appends a record to a stream and returns its offset.
func (c *Connector) Append(ctx context.Context, stream string, record []byte) (uint64, error) {
	r, err := c.log.Append(ctx, newRequest(c, &ppb.AppendRequest{Stream: stream, Record: record}))
	if err != nil {
		return 0, err
	}
	return r.Msg.GetOffset(), nil
}

// Read returns records of a stream, starting at an offset.
func (c *Connector) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (briarspring.LogPage, error) {
	r, err := c.log.Read(ctx, newRequest(c, &ppb.ReadRequest{
		Stream: stream, From: from, Limit: uint32(limit), WaitMs: uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return briarspring.LogPage{}, err
	}
	return encoder.DecodeLogPage(r.Msg), nil
}

// Hosts returns the hosts of a data centre.
func (c *Connector) Hosts(ctx context.Context, dataCentre string) ([]briarspring.Host, error) {
	r, err := c.hosts.List(ctx, newRequest(c, &ppb.ListRequest{DataCentre: dataCentre}))
	if err != nil {
		return nil, err
	}
	return encoder.DecodeHosts(r.Msg), nil
}

// Exchange sends the worker at an address its commands and returns its report.
func (c *Connector) Exchange(ctx context.Context, address string, e briarspring.Exchange) (briarspring.WorkerReport, error) {
	client := platformv1connect.NewWorkersClient(c.client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
	r, err := client.Exchange(ctx, newRequest(c, encoder.EncodeExchange(e)))
	if err != nil {
		return briarspring.WorkerReport{}, err
	}
	return encoder.DecodeWorkerReport(r.Msg)
}
