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

// keepCommitting stores progress as it arises, one batch after the other.
func (t *term) keepCommitting(ctx context.Context) {
	sequence := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.commit:
		}
		t.mu.Lock()
		batch, due := t.engine.TakeBatch()
		t.mu.Unlock()
		if !due {
			continue
		}
		if len(batch.Progress) > 0 {
			sequence++
			if !t.store(ctx, batch, sequence) {
				t.stop()
				return
			}
		}
		t.mu.Lock()
		t.engine.Stored(batch)
		close(t.stored)
		t.stored = make(chan struct{})
		t.mu.Unlock()
		_ = sleeper.For(ctx, commitGap)
	}
}

// store appends a batch, again and again under the same sequence until it is
// answered. It reports false when the term is over.
func (t *term) store(ctx context.Context, batch dispatcher.Batch, sequence uint64) bool {
	stream := briarspring.ProgressStream(t.config.DataCentre)
	for failures := 0; ctx.Err() == nil; failures++ {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := t.config.Store.Append(callCtx, stream, batch.Progress, t.fence(sequence))
		cancel()
		if err == nil {
			if failures > 0 {
				t.logger.Info("progress is stored again", "failures", failures)
			}
			return true
		}
		var fenced *briarspring.FencedError
		if errors.As(err, &fenced) {
			t.logger.Warn("a newer owner has taken the progress stream over", "error", err)
			return false
		}
		var sequence *briarspring.SequenceError
		if errors.As(err, &sequence) {
			// Only this term writes under its epoch, so its own count is wrong; the
			// next term begins a new one.
			t.logger.Error("progress does not follow the last append", "error", err)
			return false
		}
		if failures == 0 {
			t.logger.Warn("progress can't be stored", "records", len(batch.Progress), "error", err)
		}
		_ = sleeper.For(ctx, setupPause)
	}
	return false
}

// keepPublishing writes phases of workflows and signs of life to the shared
// stream.
func (t *term) keepPublishing(ctx context.Context) {
	beat := time.NewTicker(beatInterval)
	defer beat.Stop()
	models := time.NewTicker(modelInterval)
	defer models.Stop()
	t.publish(ctx, t.beat())
	for {
		var records []briarspring.KeyedRecord
		select {
		case <-ctx.Done():
			return
		case <-t.phases:
		case <-beat.C:
			records = t.beat()
		case <-models.C:
			records = t.exchangeModels()
		}
		t.mu.Lock()
		records = append(records, t.engine.TakePhases()...)
		t.mu.Unlock()
		if len(records) > 0 {
			t.publish(ctx, records)
			_ = sleeper.For(ctx, publishGap)
		}
	}
}

// exchangeModels takes over what other owners have learned and returns what this
// one has.
func (t *term) exchangeModels() []briarspring.KeyedRecord {
	var others []briarspring.PressModel
	t.config.Replica.View(func(r *registrar.Registry) { others = r.Models() })
	t.mu.Lock()
	t.pacer.Adopt(others)
	own := t.pacer.Model()
	t.mu.Unlock()
	if len(own) == 0 {
		return nil
	}
	value, err := encoder.PressModels(own)
	if err != nil {
		t.logger.Error("model can't be encoded", "error", err)
		return nil
	}
	return []briarspring.KeyedRecord{{Key: registrar.ModelKey(t.config.DataCentre), Value: value}}
}

// publish writes records until they are stored. They are idempotent.
func (t *term) publish(ctx context.Context, records []briarspring.KeyedRecord) {
	t.publishTries(ctx, func() []briarspring.KeyedRecord { return records })
}

// publishTries writes records until they are stored, and asks for them anew for
// each try.
func (t *term) publishTries(ctx context.Context, try func() []briarspring.KeyedRecord) {
	for ctx.Err() == nil {
		records := try()
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := t.config.Shared.Write(callCtx, records...)
		cancel()
		if err == nil {
			return
		}
		t.logger.Debug("phases can't be written", "records", len(records), "error", err)
		_ = sleeper.For(ctx, setupPause)
	}
}

// beat returns the owner's sign of life and drops what is no longer kept.
func (t *term) beat() []briarspring.KeyedRecord {
	t.mu.Lock()
	load := t.engine.Load()
	t.mu.Unlock()
	value, err := encoder.OwnerBeat(load)
	if err != nil {
		t.logger.Error("beat can't be encoded", "error", err)
		return nil
	}
	records := []briarspring.KeyedRecord{{Key: registrar.BeatKey(t.config.DataCentre), Value: value}}
	t.config.Replica.View(func(r *registrar.Registry) {
		for _, key := range r.Expired(t.config.Now(), t.config.KeepFinal, t.config.DataCentre, expireLimit) {
			records = append(records, briarspring.KeyedRecord{Key: key})
		}
	})
	return records
}
