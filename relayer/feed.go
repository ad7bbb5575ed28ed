package relayer

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	pb "briarspring/gen/briarspring/v1"
)

type protoMessage = proto.Message

// serveFeed sends a snapshot of the state and then its changes, until the peer
// disconnects.
func (s *Server) serveFeed(ctx context.Context, stream *quic.Stream) {
	var sent *pb.Feed
	for {
		changed := s.config.Source.Changed()
		now := s.config.Source.Feed()
		if m := Delta(sent, now); m != nil {
			if _, err := protodelim.MarshalTo(stream, m); err != nil {
				return
			}
			sent = now
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		// Batch changes that follow each other closely.
		t := time.NewTimer(feedInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// Delta returns the message that brings a receiver from one state to another,
// or nil if nothing changed. If from is nil, the message is a snapshot.
func Delta(from, to *pb.Feed) *pb.Feed {
	if to == nil {
		return nil
	}
	if from == nil {
		m := proto.Clone(to).(*pb.Feed)
		m.Snapshot = true
		return m
	}
	old := map[string]*pb.FeedExecutor{}
	for _, e := range from.Executors {
		old[e.Id] = e
	}
	m := &pb.Feed{
		ConfigOffset: to.ConfigOffset, PlacementOffset: to.PlacementOffset,
		Services: to.Services, Quotas: to.Quotas,
	}
	for _, e := range to.Executors {
		if !proto.Equal(old[e.Id], e) {
			m.Executors = append(m.Executors, e)
		}
		delete(old, e.Id)
	}
	for _, e := range from.Executors {
		if _, gone := old[e.Id]; gone {
			m.Removed = append(m.Removed, e.Id)
		}
	}
	if len(m.Executors) == 0 && len(m.Removed) == 0 && equalServices(from, to) {
		return nil
	}
	return m
}

func equalServices(a, b *pb.Feed) bool {
	return proto.Equal(
		&pb.Feed{Services: a.Services, Quotas: a.Quotas},
		&pb.Feed{Services: b.Services, Quotas: b.Quotas},
	)
}
