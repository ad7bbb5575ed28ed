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
func (ow *ownership) startRenewer(ctx context.Context, id, address string, goroutines *sync.WaitGroup) {
	if old := ow.renewers[id]; old != nil {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &leaseRenewer{id: id, address: address, cancel: cancel}
	ow.renewers[id] = r
	goroutines.Go(func() {
		defer cancel()
		for ctx.Err() == nil {
			ow.renewLease(ctx, r)
		}
	})
}

// renewLease renews the lease once and passes the worker's reply to the
// dispatcher.
func (ow *ownership) renewLease(ctx context.Context, r *leaseRenewer) {
	sent := ow.config.Now()
	ow.mu.Lock()
	request, known := ow.engine.NextRenewal(sent, r.id)
	stored := ow.stored
	ow.mu.Unlock()
	if !known {
		_ = sleeper.For(ctx, renewalRetryPause)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, request.Wait+renewalSlack)
	reply, err := ow.config.Workers.RenewLease(callCtx, r.address, r.id, request)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		ow.renewalFailed(ctx, r, err)
		return
	}
	ow.mu.Lock()
	ow.engine.HandleRenewal(ow.config.Now(), sent, r.id, reply)
	unstored := ow.engine.HasUnstoredEnds(r.id)
	ow.mu.Unlock()
	notify(ow.wake)
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

func (ow *ownership) renewalFailed(ctx context.Context, r *leaseRenewer, err error) {
	ow.mu.Lock()
	first := ow.engine.RenewalFailed(ow.config.Now(), r.id, briarspring.VerdictOf(err))
	ow.mu.Unlock()
	if first {
		ow.logger.Warn("worker does not answer", "worker", r.id, "error", err)
	}
	var fresh *briarspring.NewConnectionError
	if errors.As(err, &fresh) {
		return
	}
	notify(ow.wake)
	_ = sleeper.For(ctx, renewalRetryPause)
}
