package steward

import (
	"context"
	"errors"
	"time"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/encoder"
	"briarspring/registrar"
	"briarspring/sleeper"
)

// commitLoop appends pending progress to the progress stream, one batch at a
// time.
func (own *ownership) commitLoop(ctx context.Context) {
	sequence := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-own.commit:
		}
		own.mu.Lock()
		batch, due := own.engine.TakeBatch()
		own.mu.Unlock()
		if !due {
			continue
		}
		if len(batch.Progress) > 0 {
			sequence++
			if !own.appendProgress(ctx, batch, sequence) {
				own.stop()
				return
			}
		}
		own.mu.Lock()
		own.engine.Stored(batch)
		close(own.stored)
		own.stored = make(chan struct{})
		own.mu.Unlock()
		_ = sleeper.For(ctx, minCommitInterval)
	}
}

// appendProgress appends a batch and retries under the same sequence number
// until the store answers. It returns false when the ownership has ended.
func (own *ownership) appendProgress(ctx context.Context, batch dispatcher.Batch, sequence uint64) bool {
	stream := briarspring.ProgressStream(own.config.DataCentre)
	for failures := 0; ctx.Err() == nil; failures++ {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := own.config.Store.Append(callCtx, stream, batch.Progress, own.fence(sequence))
		cancel()
		if err == nil {
			if failures > 0 {
				own.logger.Info("storing progress works again", "failures", failures)
			}
			return true
		}
		var fenced *briarspring.FencedError
		if errors.As(err, &fenced) {
			own.logger.Warn("a newer owner has taken over the progress stream", "error", err)
			return false
		}
		var sequence *briarspring.SequenceError
		if errors.As(err, &sequence) {
			// Only this ownership writes under its epoch, so its own sequence number
			// is wrong. The next ownership starts a new sequence.
			own.logger.Error("progress append is out of sequence", "error", err)
			return false
		}
		if failures == 0 {
			own.logger.Warn("failed to store progress, retrying", "records", len(batch.Progress), "error", err)
		}
		_ = sleeper.For(ctx, retryPause)
	}
	return false
}

// publishLoop writes workflow phases, heartbeats and learned models to the
// shared stream.
func (own *ownership) publishLoop(ctx context.Context) {
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	models := time.NewTicker(modelExchangeInterval)
	defer models.Stop()
	own.publish(ctx, own.heartbeat())
	for {
		var records []briarspring.KeyedRecord
		select {
		case <-ctx.Done():
			return
		case <-own.phases:
		case <-heartbeats.C:
			records = own.heartbeat()
		case <-models.C:
			records = own.exchangeModels()
		}
		own.mu.Lock()
		records = append(records, own.engine.TakePhases()...)
		own.mu.Unlock()
		if len(records) > 0 {
			own.publish(ctx, records)
			_ = sleeper.For(ctx, minPublishInterval)
		}
	}
}

// exchangeModels adopts the interference models of other owners and returns the
// record of this owner's models, if it has learned any.
func (own *ownership) exchangeModels() []briarspring.KeyedRecord {
	var others []briarspring.PressModel
	own.config.Replica.View(func(r *registrar.Registry) { others = r.Models() })
	own.mu.Lock()
	own.pacer.Adopt(others)
	learned := own.pacer.Model()
	own.mu.Unlock()
	if len(learned) == 0 {
		return nil
	}
	value, err := encoder.PressModels(learned)
	if err != nil {
		own.logger.Error("model can't be encoded", "error", err)
		return nil
	}
	return []briarspring.KeyedRecord{{Key: registrar.ModelKey(own.config.DataCentre), Value: value}}
}

// publish writes records and retries until they are stored. The records must be
// idempotent.
func (own *ownership) publish(ctx context.Context, records []briarspring.KeyedRecord) {
	own.publishRebuilt(ctx, func() []briarspring.KeyedRecord { return records })
}

// publishRebuilt writes records and retries until they are stored, rebuilding them
// for each attempt.
func (own *ownership) publishRebuilt(ctx context.Context, build func() []briarspring.KeyedRecord) {
	for ctx.Err() == nil {
		records := build()
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := own.config.Shared.Write(callCtx, records...)
		cancel()
		if err == nil {
			return
		}
		own.logger.Debug("failed to write to the shared stream, retrying", "records", len(records), "error", err)
		_ = sleeper.For(ctx, retryPause)
	}
}

// heartbeat returns the owner's heartbeat record, and deletions of finished
// workflows that have expired.
func (own *ownership) heartbeat() []briarspring.KeyedRecord {
	own.mu.Lock()
	load := own.engine.Load()
	own.mu.Unlock()
	value, err := encoder.OwnerBeat(load)
	if err != nil {
		own.logger.Error("heartbeat can't be encoded", "error", err)
		return nil
	}
	records := []briarspring.KeyedRecord{{Key: registrar.BeatKey(own.config.DataCentre), Value: value}}
	own.config.Replica.View(func(r *registrar.Registry) {
		for _, key := range r.Expired(own.config.Now(), own.config.KeepFinal, own.config.DataCentre, maxExpiredPerHeartbeat) {
			records = append(records, briarspring.KeyedRecord{Key: key})
		}
	})
	return records
}
