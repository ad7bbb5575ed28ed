// Package launcher runs the named parts of a process, lets them find each other
// by name, and stops them in reverse order.
package launcher

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Part is one service of a process.
type Part interface {
	// Run works until the context ends or the part fails.
	Run(ctx context.Context)
	// Done returns a channel that is closed when Run has ended.
	Done() <-chan struct{}
}

// Stopper is implemented by parts that have to finish work before their context
// ends.
type Stopper interface {
	// Stop returns when the part has finished its work or giveUp is closed.
	Stop(giveUp <-chan struct{})
}

// ContextUntil returns a context that ends when giveUp is closed.
func ContextUntil(giveUp <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-giveUp:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// MissingPartError is returned for a part that does not exist or has another type.
type MissingPartError struct {
	Name string
	Want string
}

// Error implements error.
func (e *MissingPartError) Error() string { return fmt.Sprintf("part %q is not a %s", e.Name, e.Want) }

// Launcher runs the parts of a process.
type Launcher struct {
	logger   hclog.Logger
	stopTime time.Duration

	mu    sync.Mutex
	names []string
	parts map[string]any
}

// New returns a launcher. Each part has stopTime to finish its work on a stop.
func New(logger hclog.Logger, stopTime time.Duration) *Launcher {
	return &Launcher{logger: logger, stopTime: stopTime, parts: map[string]any{}}
}

// Add adds a named part. Parts are started in the order in which they were added.
// A value that doesn't implement Part is not run, only found by name.
func (l *Launcher) Add(name string, part any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names = append(l.names, name)
	l.parts[name] = part
}

// Find returns the part of that name, or a *MissingPartError.
func Find[T any](l *Launcher, name string) (T, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	part, ok := l.parts[name].(T)
	if !ok {
		return part, &MissingPartError{Name: name, Want: fmt.Sprintf("%T", *new(T))}
	}
	return part, nil
}

// Run runs all parts until the context ends or one of them ends by itself, then
// stops them all.
func (l *Launcher) Run(ctx context.Context) {
	partsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := make(chan string, len(l.names))
	var running []string
	for _, name := range l.names {
		part, ok := l.parts[name].(Part)
		if !ok {
			continue
		}
		running = append(running, name)
		go part.Run(partsCtx)
		go func() {
			<-part.Done()
			ended <- name
		}()
	}
	select {
	case <-ctx.Done():
		l.logger.Info("stops")
	case name := <-ended:
		l.logger.Error("part ended unexpectedly, stopping the process", "part", name)
	}
	for i := len(running) - 1; i >= 0; i-- {
		l.stop(running[i])
	}
	cancel()
	for _, name := range running {
		<-l.parts[name].(Part).Done()
	}
}

func (l *Launcher) stop(name string) {
	s, ok := l.parts[name].(Stopper)
	if !ok {
		return
	}
	giveUp := make(chan struct{})
	t := time.AfterFunc(l.stopTime, func() { close(giveUp) })
	defer t.Stop()
	s.Stop(giveUp)
}
