package main

import (
	"context"
	"crypto/tls"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
)

// peersProtocol is the one that schedulers accept.
const peersProtocol = "briarspring/1"

// runPeers checks a scheduler while clients without a certificate connect to its
// peers' address, and keep open what it doesn't close.
func (l *limitsSystem) runPeers(t *testing.T) {
	p := l.startProcess(t)
	l.connectPeers(t)
	p.AssertAlive(t)
	for _, r := range l.requests {
		r.assertAnswered(t)
	}
	p.AssertBounds(t, limitsBounds)
}

func (l *limitsSystem) connectPeers(t *testing.T) {
	var clients sync.WaitGroup
	for range limitsClients {
		clients.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), limitsTimeout)
			defer cancel()
			conn, err := quic.DialAddr(ctx, l.dataCentre.peers[0], &tls.Config{InsecureSkipVerify: true, NextProtos: []string{peersProtocol}}, nil)
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.CloseWithError(0, "") }) //nolint:errcheck // The scheduler may have closed it.
		})
	}
	clients.Wait()
	time.Sleep(limitsHoldTime)
}
