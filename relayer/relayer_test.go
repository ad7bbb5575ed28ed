package relayer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarspring/certifier"
	pb "briarspring/gen/briarspring/v1"
	"briarspring/imitator"
	"briarspring/relayer"
)

// source is a relayer.Source whose state never changes.
type source struct{ feed *pb.Feed }

func (s source) Feed() *pb.Feed           { return s.feed }
func (s source) Changed() <-chan struct{} { return nil }
func (s source) Snapshot(string) (uint64, []byte, error) {
	return 7, []byte("state"), nil
}

func issue(t *testing.T, a *certifier.Authority, life time.Duration) *certifier.Certifier {
	pair, err := a.Issue(life)
	require.NoError(t, err)
	c, err := certifier.FromPair(pair)
	require.NoError(t, err)
	return c
}

func newAuthority(t *testing.T) *certifier.Authority {
	a, err := certifier.NewAuthority()
	require.NoError(t, err)
	return a
}

func newServer(t *testing.T, tls relayer.TLS, log relayer.Log) string {
	s, err := relayer.NewServer(relayer.ServerConfig{
		Address: "127.0.0.1:0", TLS: tls, Source: source{feed: &pb.Feed{ConfigOffset: 3}}, Log: log,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-s.Done()
	})
	return s.Address()
}

func TestPeers(t *testing.T) {
	authority := newAuthority(t)
	log := imitator.NewLog(imitator.LogConfig{})
	address := newServer(t, issue(t, authority, time.Hour), log)
	client := relayer.NewClient(address, "voru", issue(t, authority, time.Hour))
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	t.Run("snapshot", func(t *testing.T) {
		applied, data, err := client.Snapshot(ctx, "config")
		require.NoError(t, err)
		assert.EqualValues(t, 7, applied)
		assert.Equal(t, "state", string(data))
	})
	t.Run("feed", func(t *testing.T) {
		got := make(chan *pb.Feed, 1)
		feedCtx, stop := context.WithCancel(ctx)
		defer stop()
		go client.Subscribe(feedCtx, "g", func(m *pb.Feed) error { got <- m; return nil }) //nolint:errcheck // Ends with the test.
		m := <-got
		assert.True(t, m.GetSnapshot())
		assert.EqualValues(t, 3, m.GetConfigOffset())
	})
	t.Run("fallback log", func(t *testing.T) {
		unreachable := imitator.NewLog(imitator.LogConfig{})
		unreachable.SetFaults(imitator.LogFaults{Down: true})
		fallback := relayer.NewFallbackLog(unreachable, []*relayer.Client{client}, nullLogger())
		offset, err := fallback.Append(ctx, "config", []byte("record"))
		require.NoError(t, err)
		page, err := fallback.Read(ctx, "config", offset, 10, 0)
		require.NoError(t, err)
		require.Len(t, page.Entries, 1)
		assert.Equal(t, "record", string(page.Entries[0].Record))
		assert.Equal(t, offset, page.Entries[0].Offset)
	})
}

func TestWrongCertificatesAreRefused(t *testing.T) {
	authority := newAuthority(t)
	address := newServer(t, issue(t, authority, time.Hour), imitator.NewLog(imitator.LogConfig{}))
	refused := func(t *testing.T, c *relayer.Client) {
		defer c.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, _, err := c.Snapshot(ctx, "config")
		assert.Error(t, err)
	}
	t.Run("another authority", func(t *testing.T) {
		refused(t, relayer.NewClient(address, "voru", issue(t, newAuthority(t), time.Hour)))
	})
	t.Run("expired", func(t *testing.T) {
		refused(t, relayer.NewClient(address, "voru", issue(t, authority, -time.Minute)))
	})
}

func TestDelta(t *testing.T) {
	a := &pb.FeedExecutor{Id: "a", Address: "1"}
	b := &pb.FeedExecutor{Id: "b", Address: "2"}
	leaving := &pb.FeedExecutor{Id: "a", Address: "1", Leaving: true}
	one := &pb.Feed{ConfigOffset: 1, Executors: []*pb.FeedExecutor{a}}
	two := &pb.Feed{ConfigOffset: 2, Executors: []*pb.FeedExecutor{leaving, b}}
	assert.True(t, relayer.Delta(nil, one).GetSnapshot())
	assert.Nil(t, relayer.Delta(nil, nil))
	assert.Nil(t, relayer.Delta(one, one))
	d := relayer.Delta(one, two)
	assert.Len(t, d.GetExecutors(), 2)
	assert.Equal(t, []string{"b"}, relayer.Delta(two, one).GetRemoved())
}
