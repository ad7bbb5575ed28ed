package scheduler_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"briarspring"
	"briarspring/imitator"
)

// gate wraps the external calls of one scheduler. While it is blocked, calls
// neither leave nor return, as if the process was stopped between two steps.
// Calls made meanwhile are sent when it is unblocked.
type gate struct {
	log     *imitator.LogClient
	workers *imitator.FleetClient
	hosts   *imitator.Hosts

	mu        sync.Mutex
	unblocked chan struct{} // Not nil while the gate is blocked.
}

func (g *gate) block() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unblocked == nil {
		g.unblocked = make(chan struct{})
	}
}

func (g *gate) unblock() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unblocked != nil {
		close(g.unblocked)
		g.unblocked = nil
	}
}

// wait waits while the gate is blocked. The call continues even if its deadline
// has passed meanwhile, since a stopped process does not notice that.
func (g *gate) wait(ctx context.Context) context.Context {
	g.mu.Lock()
	unblocked := g.unblocked
	g.mu.Unlock()
	if unblocked == nil {
		return ctx
	}
	<-unblocked
	return context.WithoutCancel(ctx)
}

const gatedCallTimeout = 3 * time.Second

func (g *gate) call(ctx context.Context, f func(context.Context)) {
	ctx, cancel := context.WithTimeout(g.wait(ctx), gatedCallTimeout)
	defer cancel()
	f(ctx)
	g.wait(ctx)
}

func (g *gate) Append(ctx context.Context, stream string, record []byte) (offset uint64, err error) {
	g.call(ctx, func(ctx context.Context) { offset, err = g.log.Append(ctx, stream, record) })
	return offset, err
}

func (g *gate) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (page briarspring.LogPage, err error) {
	g.call(ctx, func(ctx context.Context) { page, err = g.log.Read(ctx, stream, from, limit, wait) })
	return page, err
}

func (g *gate) Exchange(ctx context.Context, address string, e briarspring.Exchange) (r briarspring.WorkerReport, err error) {
	g.call(ctx, func(ctx context.Context) { r, err = g.workers.Exchange(ctx, address, e) })
	return r, err
}

func (g *gate) Hosts(ctx context.Context, dataCentre string) (hosts []briarspring.Host, err error) {
	g.call(ctx, func(ctx context.Context) { hosts, err = g.hosts.Hosts(ctx, dataCentre) })
	return hosts, err
}

// with returns the list with a name added, and without returns it removed.
func with(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(slices.Clone(list), name)
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(o string) bool { return o == name })
}
