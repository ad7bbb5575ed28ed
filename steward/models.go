package steward

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"briarspring"
	"briarspring/encoder"
	"briarspring/sleeper"
	"briarspring/tracker"
)

const (
	// modelExchangeInterval is the time between two exchanges of interference
	// models.
	modelExchangeInterval = 2 * time.Second
	// modelTimeout bounds one read or write of models, which nothing waits for.
	modelTimeout = 800 * time.Millisecond
)

// modelReader reads the interference models of all owners.
type modelReader struct {
	store  Store
	logger hclog.Logger
	next   uint64
	loaded bool
	models map[string][]briarspring.InterferenceModel // By data centre.
}

func newModelReader(store Store, logger hclog.Logger) *modelReader {
	return &modelReader{store: store, logger: logger, models: map[string][]briarspring.InterferenceModel{}}
}

// read returns the newest models of all owners, in order of data centre.
func (m *modelReader) read(ctx context.Context) ([]briarspring.InterferenceModel, error) {
	ctx, cancel := context.WithTimeout(ctx, modelTimeout)
	defer cancel()
	records, err := m.records(ctx)
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		models, err := encoder.DecodeInterferenceModels(r.Value)
		if err != nil {
			m.logger.Warn("ignoring malformed record", "key", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		m.models[r.Key] = models
	}
	var all []briarspring.InterferenceModel
	for _, name := range slices.Sorted(maps.Keys(m.models)) {
		all = append(all, m.models[name]...)
	}
	return all, nil
}

// records returns what was appended since the last call, or the newest record of every
// key at the first one.
func (m *modelReader) records(ctx context.Context) ([]briarspring.KeyedRecord, error) {
	if m.loaded {
		page, err := m.store.Read(ctx, briarspring.ModelsStream, m.next, 0)
		var trimmed *briarspring.TrimmedError
		if err == nil {
			m.next = max(m.next, page.Next)
			return page.Records, nil
		}
		if !errors.As(err, &trimmed) {
			return nil, err
		}
	}
	records, end, err := tracker.Newest(ctx, m.store, briarspring.ModelsStream)
	if err != nil {
		return nil, err
	}
	m.next, m.loaded = end, true
	return records, nil
}

// startReadingModels reads the models of all owners beside the progress of a takeover,
// which doesn't fail for want of them: the next exchange reads them again.
func (ow *ownership) startReadingModels(ctx context.Context) <-chan []briarspring.InterferenceModel {
	result := make(chan []briarspring.InterferenceModel, 1)
	reader := newModelReader(ow.config.Store, ow.logger)
	go func() {
		models, err := reader.read(ctx)
		if err != nil {
			ow.logger.Warn("failed to read interference models", "error", err)
		}
		result <- models
	}()
	return result
}

// exchangeLoop shares this owner's interference models and adopts those of others.
func (ow *ownership) exchangeLoop(ctx context.Context) {
	reader := newModelReader(ow.config.Store, ow.logger)
	for sleeper.For(ctx, modelExchangeInterval) == nil {
		others, err := reader.read(ctx)
		if err != nil {
			ow.logger.Debug("failed to read interference models", "error", err)
		}
		ow.mu.Lock()
		ow.pacer.AdoptModels(others)
		learned := ow.pacer.Models()
		ow.mu.Unlock()
		if len(learned) > 0 {
			ow.writeModels(ctx, learned)
		}
	}
}

// writeModels stores this owner's models. A write that fails is not repeated, as the
// next exchange follows soon.
func (ow *ownership) writeModels(ctx context.Context, models []briarspring.InterferenceModel) {
	value, err := encoder.EncodeInterferenceModels(models)
	if err != nil {
		ow.logger.Error("model can't be encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, modelTimeout)
	defer cancel()
	records := []briarspring.KeyedRecord{{Key: ow.config.DataCentre, Value: value}}
	if _, err := ow.config.Store.Append(ctx, briarspring.ModelsStream, records, briarspring.Fence{}); err != nil {
		ow.logger.Debug("failed to store interference models", "error", err)
	}
}
