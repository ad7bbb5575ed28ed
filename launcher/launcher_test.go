package launcher_test

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"time"

	"briarspring/launcher"
)

// part logs its name when it is stopped.
type part struct {
	name string
	log  chan<- string
	end  chan struct{} // Closed to make the part end by itself.
	done chan struct{}
}

func newPart(name string, log chan<- string) *part {
	return &part{name: name, log: log, end: make(chan struct{}), done: make(chan struct{})}
}

func (p *part) Run(ctx context.Context) {
	defer close(p.done)
	select {
	case <-ctx.Done():
	case <-p.end:
	}
}

func (p *part) Done() <-chan struct{} { return p.done }
func (p *part) Stop(<-chan struct{})  { p.log <- p.name }
func (p *part) String() string        { return p.name }

func TestStopsInReverse(t *testing.T) {
	log := make(chan string, 2)
	l := launcher.New(hclog.NewNullLogger(), time.Second)
	l.Add("first", newPart("first", log))
	l.Add("second", newPart("second", log))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l.Run(ctx)
	assert.Equal(t, "second", <-log)
	assert.Equal(t, "first", <-log)
}

func TestPartThatEndsStopsTheProcess(t *testing.T) {
	log := make(chan string, 2)
	l := launcher.New(hclog.NewNullLogger(), time.Second)
	p := newPart("first", log)
	l.Add("first", p)
	l.Add("second", newPart("second", log))
	close(p.end)
	l.Run(t.Context())
	assert.Len(t, log, 2)
}

func TestFind(t *testing.T) {
	l := launcher.New(hclog.NewNullLogger(), time.Second)
	l.Add("first", newPart("first", nil))
	p, err := launcher.Find[interface{ String() string }](l, "first")
	require.NoError(t, err)
	assert.Equal(t, "first", p.String())
	_, err = launcher.Find[interface{ Fly() }](l, "first")
	var missing *launcher.MissingPartError
	assert.ErrorAs(t, err, &missing)
}

func TestContextUntil(t *testing.T) {
	giveUp := make(chan struct{})
	ctx, cancel := launcher.ContextUntil(giveUp)
	defer cancel()
	require.NoError(t, ctx.Err())
	close(giveUp)
	<-ctx.Done()
}
