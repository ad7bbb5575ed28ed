package relayer

import (
	"bufio"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"

	"briarspring"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
)

// Client sends requests to one peer.
type Client struct {
	address    string
	dataCentre string
	tls        TLS

	mu   sync.Mutex
	conn *quic.Conn
}

// NewClient returns a client of the peer at an address. It connects when the
// first request is sent.
func NewClient(address, dataCentre string, t TLS) *Client {
	return &Client{address: address, dataCentre: dataCentre, tls: t}
}

const connectTimeout = 2 * time.Second

func (c *Client) connect(ctx context.Context) (*quic.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.conn.Context().Err() == nil {
		return c.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, c.address, c.tls.ClientTLS(), quicConfig())
	if err != nil {
		return nil, err
	}
	c.conn = conn
	return conn, nil
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.CloseWithError(0, "") //nolint:errcheck // The connection is discarded.
	}
}

// openStream sends a request and returns the stream to read its responses from.
func (c *Client) openStream(ctx context.Context, request *pb.PeerRequest) (*quic.Stream, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	request.DataCentre = c.dataCentre
	if _, err := protodelim.MarshalTo(stream, request); err != nil {
		return nil, err
	}
	return stream, nil
}

// roundTrip sends a request and reads its single response.
func (c *Client) roundTrip(ctx context.Context, request *pb.PeerRequest, answer protoMessage) error {
	stream, err := c.openStream(ctx, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(0) })
	defer stop()
	return readMessage(bufio.NewReader(stream), answer)
}

// Subscribe calls handle for each message of the peer's feed until the feed
// fails, handle returns an error, or the context ends.
func (c *Client) Subscribe(ctx context.Context, gateway string, handle func(*pb.Feed) error) error {
	stream, err := c.openStream(ctx, &pb.PeerRequest{
		Request: &pb.PeerRequest_SubscribeFeed{SubscribeFeed: &pb.SubscribeFeed{Gateway: gateway}},
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(0) })
	defer stop()
	r := bufio.NewReader(stream)
	for {
		m := &pb.Feed{}
		if err := readMessage(r, m); err != nil {
			return err
		}
		if err := handle(m); err != nil {
			stream.CancelRead(0)
			return err
		}
	}
}

// Snapshot returns the state that the peer has built from a stream, and the
// offset up to which it has applied the stream.
func (c *Client) Snapshot(ctx context.Context, stream string) (applied uint64, data []byte, err error) {
	var answer pb.FetchSnapshotAnswer
	request := &pb.PeerRequest{
		Request: &pb.PeerRequest_FetchSnapshot{FetchSnapshot: &pb.FetchSnapshot{Stream: stream}},
	}
	if err := c.roundTrip(ctx, request, &answer); err != nil {
		return 0, nil, err
	}
	if answer.GetProblem() != "" {
		return 0, nil, &PeerError{Address: c.address, Problem: answer.GetProblem()}
	}
	if encoder.Checksum(answer.GetData()) != answer.GetChecksum() {
		return 0, nil, &PeerError{Address: c.address, Problem: "snapshot checksum mismatch"}
	}
	return answer.GetApplied(), answer.GetData(), nil
}

// Append appends a record through the peer.
func (c *Client) Append(ctx context.Context, stream string, record []byte) (uint64, error) {
	var answer pb.RelayAppendAnswer
	request := &pb.PeerRequest{
		Request: &pb.PeerRequest_RelayAppend{RelayAppend: &pb.RelayAppend{Stream: stream, Record: record}},
	}
	if err := c.roundTrip(ctx, request, &answer); err != nil {
		return 0, err
	}
	if answer.GetProblem() != "" {
		return 0, &PeerError{Address: c.address, Problem: answer.GetProblem()}
	}
	return answer.GetOffset(), nil
}

// Read reads records through the peer.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (briarspring.LogPage, error) {
	var answer pb.RelayReadAnswer
	request := &pb.PeerRequest{
		Request: &pb.PeerRequest_RelayRead{RelayRead: &pb.RelayRead{
			Stream: stream, From: from, Limit: uint32(limit), WaitMs: uint32(wait.Milliseconds()),
		}},
	}
	if err := c.roundTrip(ctx, request, &answer); err != nil {
		return briarspring.LogPage{}, err
	}
	if answer.GetProblem() != "" {
		return briarspring.LogPage{}, &PeerError{Address: c.address, Problem: answer.GetProblem()}
	}
	page := briarspring.LogPage{Oldest: answer.GetOldest(), Next: answer.GetNext()}
	for i, record := range answer.GetRecords() {
		page.Entries = append(page.Entries, briarspring.LogEntry{Offset: from + uint64(i), Record: record})
	}
	return page, nil
}

// FallbackLog is a client of the platform's log that falls back to peers in
// other data centres while direct access fails.
type FallbackLog struct {
	direct Log
	peers  []*Client
	logger hclog.Logger

	mu          sync.Mutex
	preferred   int       // Index of the peer that succeeded last.
	directAfter time.Time // Direct access isn't tried before this time.
}

// directRetryDelay is how long direct access is skipped after a call succeeded
// through a peer.
const directRetryDelay = time.Second

// NewFallbackLog returns a log that uses direct, and falls back to the peers.
func NewFallbackLog(direct Log, peers []*Client, logger hclog.Logger) *FallbackLog {
	return &FallbackLog{direct: direct, peers: peers, logger: logger}
}

// Append appends a record. It may be appended twice, since an attempt that
// returned an error may have succeeded; readers drop the duplicate.
func (l *FallbackLog) Append(ctx context.Context, stream string, record []byte) (uint64, error) {
	var offset uint64
	err := l.withFallback(ctx, func(ctx context.Context, log Log) error {
		var err error
		offset, err = log.Append(ctx, stream, record)
		return err
	})
	return offset, err
}

// Read returns records of a stream, starting at an offset.
func (l *FallbackLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (briarspring.LogPage, error) {
	var page briarspring.LogPage
	err := l.withFallback(ctx, func(ctx context.Context, log Log) error {
		var err error
		page, err = log.Read(ctx, stream, from, limit, wait)
		return err
	})
	return page, err
}

// withFallback tries direct access, then one peer after another, starting with
// the one that succeeded last.
func (l *FallbackLog) withFallback(ctx context.Context, call func(context.Context, Log) error) error {
	l.mu.Lock()
	tryDirect := time.Now().After(l.directAfter)
	first := l.preferred
	l.mu.Unlock()
	var failure error
	if tryDirect || len(l.peers) == 0 {
		if failure = l.callDirect(ctx, call); failure == nil {
			return nil
		}
	}
	for i := range l.peers {
		n := (first + i) % len(l.peers)
		if ctx.Err() != nil {
			break
		}
		err := call(ctx, l.peers[n])
		if err == nil {
			l.preferPeer(n)
			return nil
		}
		if failure == nil {
			failure = err
		}
	}
	if failure == nil {
		failure = ctx.Err()
	}
	return fmt.Errorf("log is unreachable: %w", failure)
}

// callDirect tries direct access. If there are peers, it leaves them a third of
// the time until the caller's deadline.
func (l *FallbackLog) callDirect(ctx context.Context, call func(context.Context, Log) error) error {
	if deadline, ok := ctx.Deadline(); ok && len(l.peers) > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-time.Until(deadline)/3))
		defer cancel()
	}
	return call(ctx, l.direct)
}

func (l *FallbackLog) preferPeer(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.directAfter) > 2*directRetryDelay {
		l.logger.Warn("log is accessed through a peer", "peer", hostOf(l.peers[n].address))
	}
	l.preferred = n
	l.directAfter = time.Now().Add(directRetryDelay)
}
