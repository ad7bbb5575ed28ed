package steward

import (
	"context"
	"errors"
	"reflect"
	"time"

	"briarspring"
	"briarspring/dispatcher"
	"briarspring/encoder"
	"briarspring/registrar"
	"briarspring/sleeper"
)

// progressInterval is the longest time between two appends of progress while the
// store answers. They show that no newer owner has taken over, see
// dispatcher.ProgressWritten.
const progressInterval = 500 * time.Millisecond

// commitLoop appends pending progress to the progress stream, one batch at a
// time.
func (ow *ownership) commitLoop(ctx context.Context) {
	idle := time.NewTimer(progressInterval)
	defer idle.Stop()
	for sequence := uint64(1); ; {
		var records []briarspring.KeyedRecord
		select {
		case <-ctx.Done():
			return
		case <-ow.commit:
		case <-idle.C:
			// A record without a value leaves nothing behind.
			records = []briarspring.KeyedRecord{{Key: ow.config.Host}}
		}
		ow.mu.Lock()
		batch, due := ow.engine.TakeBatch()
		ow.mu.Unlock()
		if len(batch.Progress) > 0 {
			records = batch.Progress
		}
		for _, part := range splitRecords(records, maxAppendBytes) {
			idle.Reset(progressInterval)
			if !ow.appendProgress(ctx, part, sequence) {
				ow.stop()
				return
			}
			sequence++
		}
		if due {
			ow.finishBatch(batch)
			_ = sleeper.For(ctx, minCommitInterval)
		}
	}
}

// maxAppendBytes is the size of the keys and values from which records are appended in
// parts; the platform takes 2 MiB at once.
const maxAppendBytes = 1 << 20

// splitRecords splits records into parts that exceed limit by less than one record.
func splitRecords(records []briarspring.KeyedRecord, limit int) [][]briarspring.KeyedRecord {
	var parts [][]briarspring.KeyedRecord
	for start, size, i := 0, 0, 0; i < len(records); i++ {
		if size += len(records[i].Key) + len(records[i].Value); size >= limit || i == len(records)-1 {
			parts = append(parts, records[start:i+1])
			start, size = i+1, 0
		}
	}
	return parts
}

// finishBatch records that a batch is stored.
func (ow *ownership) finishBatch(batch dispatcher.Batch) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.engine.Stored(batch)
	close(ow.stored)
	ow.stored = make(chan struct{})
}

// appendProgress appends records and retries under the same sequence number
// until the store answers. It returns false when the ownership has ended.
func (ow *ownership) appendProgress(ctx context.Context, records []briarspring.KeyedRecord, sequence uint64) bool {
	stream := briarspring.ProgressStream(ow.config.DataCentre)
	sent := ow.config.Now()
	for failures := 0; ctx.Err() == nil; failures++ {
		callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := ow.config.Store.Append(callCtx, stream, records, ow.fence(sequence))
		cancel()
		if err == nil {
			if failures > 0 {
				ow.logger.Info("storing progress works again", "failures", failures)
			}
			ow.mu.Lock()
			ow.engine.ProgressWritten(sent)
			ow.mu.Unlock()
			return true
		}
		var fenced *briarspring.FencedError
		if errors.As(err, &fenced) {
			ow.logger.Warn("a newer owner has taken over the progress stream", "error", err)
			return false
		}
		var outOfSequence *briarspring.SequenceError
		if errors.As(err, &outOfSequence) {
			// Only this ownership writes under its epoch, so its own sequence number
			// is wrong. The next ownership starts a new sequence.
			ow.logger.Error("progress append is out of sequence", "error", err)
			return false
		}
		if failures == 0 {
			ow.logger.Warn("failed to store progress, retrying", "records", len(records), "error", err)
		}
		_ = sleeper.For(ctx, retryPause)
	}
	return false
}

// publishLoop writes workflow phases and heartbeats to the shared stream.
func (ow *ownership) publishLoop(ctx context.Context) {
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	ow.publishHeartbeat(ctx)
	for {
		var records []briarspring.KeyedRecord
		select {
		case <-ctx.Done():
			return
		case <-ow.phases:
		case <-ow.listed:
			records = ow.changedInventory()
		case <-heartbeats.C:
			ow.publishHeartbeat(ctx)
		}
		ow.mu.Lock()
		records = append(records, ow.engine.TakePhases()...)
		ow.mu.Unlock()
		if len(records) > 0 {
			ow.publish(ctx, records)
			_ = sleeper.For(ctx, minPublishInterval)
		}
	}
}

// publishHeartbeat writes a heartbeat, together with the phases that changed.
func (ow *ownership) publishHeartbeat(ctx context.Context) {
	sent := ow.config.Now()
	records := ow.heartbeat()
	if len(records) == 0 {
		return
	}
	ow.mu.Lock()
	records = append(records, ow.engine.TakePhases()...)
	ow.mu.Unlock()
	if ow.publish(ctx, records) {
		ow.mu.Lock()
		ow.engine.HeartbeatWritten(sent)
		ow.mu.Unlock()
	}
}

// publish writes records and retries until they are stored. The records must be
// idempotent. It returns false if the context ended first.
func (ow *ownership) publish(ctx context.Context, records []briarspring.KeyedRecord) (stored bool) {
	return ow.publishRebuilt(ctx, func() []briarspring.KeyedRecord { return records })
}

// publishRebuilt writes records and retries until they are stored, rebuilding
// them for each attempt.
func (ow *ownership) publishRebuilt(ctx context.Context, build func() []briarspring.KeyedRecord) (stored bool) {
	for ctx.Err() == nil {
		records := build()
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := ow.config.Shared.Write(callCtx, records...)
		cancel()
		if err == nil {
			return true
		}
		ow.logger.Debug("failed to write to the shared stream, retrying", "records", len(records), "error", err)
		_ = sleeper.For(ctx, retryPause)
	}
	return false
}

// changedInventory returns the record of the data centre's inventory if the log has
// another one.
func (ow *ownership) changedInventory() []briarspring.KeyedRecord {
	ow.mu.Lock()
	v, ok := ow.engine.Inventory(ow.config.Now())
	ow.mu.Unlock()
	if !ok {
		return nil
	}
	var recorded registrar.Inventory
	ow.config.Replica.View(func(r *registrar.Registry) { recorded, _ = r.Inventory(ow.config.DataCentre) })
	if ow.inventory == nil {
		ow.inventory = recorded.Content.Workers
	}
	ow.logRemovedWorkers(ow.inventory, v.Workers)
	ow.inventory = v.Workers
	if ow.claim.Yields {
		// The progress stream has them, see dispatcher.Config.RecordedOnly. Every host
		// reads inventories, and a list of hundreds of workers was repeated with each
		// worker that joined or left.
		v.Workers = nil
	}
	if reflect.DeepEqual(v, recorded.Content) && !recorded.Overwritten {
		return nil
	}
	value, err := encoder.EncodeInventory(v)
	if err != nil {
		ow.logger.Error("inventory can't be encoded", "error", err)
		return nil
	}
	return []briarspring.KeyedRecord{{Key: registrar.InventoryKey(ow.config.DataCentre), Value: value}}
}

// heartbeat returns the owner's heartbeat record, the inventory if it has changed,
// and deletions of finished workflows that have expired.
func (ow *ownership) heartbeat() []briarspring.KeyedRecord {
	ow.mu.Lock()
	load := ow.engine.Load()
	ow.mu.Unlock()
	value, err := encoder.EncodeHeartbeat(load)
	if err != nil {
		ow.logger.Error("heartbeat can't be encoded", "error", err)
		return nil
	}
	records := append(ow.changedInventory(), briarspring.KeyedRecord{Key: registrar.HeartbeatKey(ow.config.DataCentre), Value: value})
	ow.config.Replica.View(func(r *registrar.Registry) {
		for _, key := range r.Expired(ow.config.Now(), ow.config.FinalRetention, ow.config.DataCentre, maxExpiredPerHeartbeat) {
			records = append(records, briarspring.KeyedRecord{Key: key})
		}
	})
	return records
}
