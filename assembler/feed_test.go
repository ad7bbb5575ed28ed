package assembler

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"briarspring/forwarder"
	pb "briarspring/gen/briarspring/v1"
	"briarspring/router"
)

// FuzzDecodeFeed applies arbitrary feed messages from a peer.
func FuzzDecodeFeed(f *testing.F) {
	data, err := proto.Marshal(&pb.Feed{
		ConfigOffset: 3, Snapshot: true, Services: []*pb.FeedService{{Name: "ledger", Prefix: "/ledger/"}},
		Executors: []*pb.FeedExecutor{{Id: "a", Service: "ledger", Address: "127.0.0.1:1", Slots: 8, Connections: 64, Number: 1 << 31}},
		Removed:   []string{"b"}, Quotas: []*pb.Quota{{Team: "t"}},
	})
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m pb.Feed
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		gateway := forwarder.New(forwarder.Config{Router: router.Config{GatewayCount: 3}})
		gateway.Apply(decodeFeed(&m))
	})
}
