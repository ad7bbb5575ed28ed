package steward

import (
	"context"
	"errors"
	"sync"
	"time"

	"briarspring"
	"briarspring/sleeper"
)

// agent renews the lease of one worker.
type agent struct {
	id      string
	address string
	cancel  context.CancelFunc
}

// startAgent begins to renew the lease of a worker, in place of an agent that
// used another address.
func (t *term) startAgent(ctx context.Context, id, address string, duties *sync.WaitGroup) {
	if old := t.agents[id]; old != nil {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	a := &agent{id: id, address: address, cancel: cancel}
	t.agents[id] = a
	duties.Go(func() {
		defer cancel()
		for ctx.Err() == nil {
			t.hold(ctx, a)
		}
	})
}

// hold renews the lease once and takes in what runs on the worker.
func (t *term) hold(ctx context.Context, a *agent) {
	sent := t.config.Now()
	t.mu.Lock()
	request, known := t.engine.Hold(sent, a.id)
	stored := t.stored
	t.mu.Unlock()
	if !known {
		_ = sleeper.For(ctx, holdPause)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, request.Wait+holdSlack)
	reply, err := t.config.Workers.Hold(callCtx, a.address, a.id, request)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		t.holdFailed(ctx, a, err)
		return
	}
	t.mu.Lock()
	t.engine.Held(t.config.Now(), sent, a.id, reply)
	unstored := t.engine.Unstored(a.id)
	t.mu.Unlock()
	poke(t.wake)
	if unstored {
		waitStored(ctx, stored)
	}
}

// waitStored waits until a batch is stored, but not for long.
func waitStored(ctx context.Context, stored <-chan struct{}) {
	pause := time.NewTimer(storePause)
	defer pause.Stop()
	select {
	case <-stored:
	case <-pause.C:
	case <-ctx.Done():
	}
}

func (t *term) holdFailed(ctx context.Context, a *agent, err error) {
	t.mu.Lock()
	first := t.engine.HoldLost(t.config.Now(), a.id, briarspring.VerdictOf(err))
	t.mu.Unlock()
	if first {
		t.logger.Warn("worker does not answer", "worker", a.id, "error", err)
	}
	var fresh *briarspring.NewConnectionError
	if errors.As(err, &fresh) {
		return
	}
	poke(t.wake)
	_ = sleeper.For(ctx, holdPause)
}
