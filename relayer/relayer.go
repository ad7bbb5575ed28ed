// Package relayer carries messages between the system's own processes over QUIC
// with mutual TLS: the feed from schedulers to gateways, snapshots for
// processes that start while the log is down, and log reads and appends for
// data centres that can't reach the platform.
package relayer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"

	"briarspring"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
)

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, record []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (briarspring.LogPage, error)
}

// Source provides the state that a server sends to its peers.
type Source interface {
	// Feed returns the current state for gateways, or nil before it is known.
	Feed() *pb.Feed
	// Changed returns a channel that is closed when Feed may have changed.
	Changed() <-chan struct{}
	// Snapshot returns the state built from a stream, and the offset up to which
	// the stream has been applied.
	Snapshot(stream string) (applied uint64, data []byte, err error)
}

// TLS provides the settings for connections between processes.
type TLS interface {
	ServerTLS() *tls.Config
	ClientTLS() *tls.Config
}

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	Address string // "IP:port", UDP.
	TLS     TLS
	Source  Source
	Log     Log // Serves peers that can't reach the log; must not itself relay.
	Logger  hclog.Logger
}

// Server serves the requests of other processes.
type Server struct {
	config   ServerConfig
	listener *quic.Listener
	done     chan struct{}
}

const (
	idleTimeout     = 10 * time.Second
	keepAlive       = 3 * time.Second
	maxMessageBytes = 64 << 20
	feedInterval    = 50 * time.Millisecond
	relayTimeout    = 5 * time.Second
)

func quicConfig() *quic.Config {
	return &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAlive, MaxIncomingStreams: 256}
}

// NewServer returns a server that listens on c.Address.
func NewServer(c ServerConfig) (*Server, error) {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	listener, err := quic.ListenAddr(c.Address, c.TLS.ServerTLS(), quicConfig())
	if err != nil {
		return nil, err
	}
	return &Server{config: c, listener: listener, done: make(chan struct{})}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Done returns a channel that is closed when Run has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// Run serves requests until the context ends.
func (s *Server) Run(ctx context.Context) {
	defer close(s.done)
	defer s.listener.Close()
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return
		}
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	defer conn.CloseWithError(0, "") //nolint:errcheck // The connection is discarded.
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			s.logRefusedPeer(conn, err)
			return
		}
		go s.serveStream(ctx, conn, stream)
	}
}

// logRefusedPeer logs an error that is due to a refused certificate.
func (s *Server) logRefusedPeer(conn *quic.Conn, err error) {
	var transport *quic.TransportError
	if errors.As(err, &transport) && transport.ErrorCode.IsCryptoError() {
		s.config.Logger.Warn("peer certificate refused", "peer", conn.RemoteAddr(), "error", err)
	}
}

func (s *Server) serveStream(ctx context.Context, conn *quic.Conn, stream *quic.Stream) {
	defer stream.Close()
	var request pb.PeerRequest
	if err := readMessage(bufio.NewReader(stream), &request); err != nil {
		s.config.Logger.Warn("can't read peer request", "peer", conn.RemoteAddr(), "error", err)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(conn.Context(), cancel)
	switch r := request.GetRequest().(type) {
	case *pb.PeerRequest_SubscribeFeed:
		s.config.Logger.Info("gateway subscribed", "gateway", r.SubscribeFeed.GetGateway(), "peer", conn.RemoteAddr())
		s.serveFeed(ctx, stream)
	case *pb.PeerRequest_FetchSnapshot:
		s.serveSnapshot(stream, r.FetchSnapshot)
	case *pb.PeerRequest_RelayAppend:
		s.serveAppend(ctx, stream, r.RelayAppend)
	case *pb.PeerRequest_RelayRead:
		s.serveRead(ctx, stream, r.RelayRead)
	default:
		s.config.Logger.Warn("unknown peer request", "peer", conn.RemoteAddr())
	}
}

func (s *Server) serveSnapshot(stream *quic.Stream, r *pb.FetchSnapshot) {
	answer := &pb.FetchSnapshotAnswer{}
	applied, data, err := s.config.Source.Snapshot(r.GetStream())
	if err != nil {
		answer.Problem = err.Error()
	} else {
		answer.Applied, answer.Data, answer.Checksum = applied, data, encoder.Checksum(data)
	}
	s.send(stream, answer)
}

func (s *Server) serveAppend(ctx context.Context, stream *quic.Stream, r *pb.RelayAppend) {
	answer := &pb.RelayAppendAnswer{}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	offset, err := s.config.Log.Append(ctx, r.GetStream(), r.GetRecord())
	if err != nil {
		answer.Problem = err.Error()
	}
	answer.Offset = offset
	s.send(stream, answer)
}

func (s *Server) serveRead(ctx context.Context, stream *quic.Stream, r *pb.RelayRead) {
	answer := &pb.RelayReadAnswer{}
	wait := time.Duration(r.GetWaitMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	page, err := s.config.Log.Read(ctx, r.GetStream(), r.GetFrom(), int(r.GetLimit()), wait)
	if err != nil {
		answer.Problem = err.Error()
	}
	answer.Oldest, answer.Next = page.Oldest, page.Next
	for _, e := range page.Entries {
		answer.Records = append(answer.Records, e.Record)
	}
	s.send(stream, answer)
}

func (s *Server) send(stream *quic.Stream, m protoMessage) {
	if _, err := protodelim.MarshalTo(stream, m); err != nil {
		s.config.Logger.Debug("can't send response to peer", "error", err)
	}
}

func readMessage(r *bufio.Reader, m protoMessage) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, m)
}

// PeerError is a peer's failure to serve a request.
type PeerError struct {
	Address string
	Problem string
}

// Error implements error.
func (e *PeerError) Error() string { return fmt.Sprintf("peer %s: %s", e.Address, e.Problem) }

// hostOf returns an address without its port, for logs.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
