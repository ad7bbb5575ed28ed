package steward

import (
	"context"
	"errors"
	"sync"
	"time"

	"briarspring"
	"briarspring/sleeper"
)

// leaseRenewer renews the lease of one worker.
type leaseRenewer struct {
	id      string
	address string
	cancel  context.CancelFunc
}

// startRenewer starts renewing the lease of a worker and cancels the renewer
// that used its previous address, if any.
func (own *ownership) startRenewer(ctx context.Context, id, address string, goroutines *sync.WaitGroup) {
	if old := own.renewers[id]; old != nil {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &leaseRenewer{id: id, address: address, cancel: cancel}
	own.renewers[id] = r
	goroutines.Go(func() {
		defer cancel()
		for ctx.Err() == nil {
			own.renewLease(ctx, r)
		}
	})
}

// renewLease renews the lease once and passes the worker's reply to the
// dispatcher.
func (own *ownership) renewLease(ctx context.Context, r *leaseRenewer) {
	sent := own.config.Now()
	own.mu.Lock()
	request, known := own.engine.Hold(sent, r.id)
	stored := own.stored
	own.mu.Unlock()
	if !known {
		_ = sleeper.For(ctx, renewalRetryPause)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, request.Wait+renewalSlack)
	reply, err := own.config.Workers.Hold(callCtx, r.address, r.id, request)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		own.renewalFailed(ctx, r, err)
		return
	}
	own.mu.Lock()
	own.engine.Held(own.config.Now(), sent, r.id, reply)
	unstored := own.engine.Unstored(r.id)
	own.mu.Unlock()
	notify(own.wake)
	if unstored {
		waitStored(ctx, stored)
	}
}

// waitStored waits until a batch is stored, for at most maxStoreWait.
func waitStored(ctx context.Context, stored <-chan struct{}) {
	timer := time.NewTimer(maxStoreWait)
	defer timer.Stop()
	select {
	case <-stored:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (own *ownership) renewalFailed(ctx context.Context, r *leaseRenewer, err error) {
	own.mu.Lock()
	first := own.engine.HoldLost(own.config.Now(), r.id, briarspring.VerdictOf(err))
	own.mu.Unlock()
	if first {
		own.logger.Warn("worker does not answer", "worker", r.id, "error", err)
	}
	var fresh *briarspring.NewConnectionError
	if errors.As(err, &fresh) {
		return
	}
	notify(own.wake)
	_ = sleeper.For(ctx, renewalRetryPause)
}
