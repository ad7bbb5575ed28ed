package imitator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"briarspring"
)

// Hosts is a stand-in for the platform's list of live and leaving hosts. Changes
// become visible after a lag.
type Hosts struct {
	lag time.Duration

	mu      sync.Mutex
	down    bool
	changes []hostChange
}

type hostChange struct {
	at      time.Time
	host    briarspring.Host
	removed bool
}

// NewHosts returns an empty list whose changes become visible after lag.
func NewHosts(lag time.Duration) *Hosts { return &Hosts{lag: lag} }

// Put adds or replaces a host.
func (h *Hosts) Put(host briarspring.Host) { h.change(hostChange{host: host}) }

// Remove removes a host from the list.
func (h *Hosts) Remove(name string) {
	h.change(hostChange{host: briarspring.Host{Name: name}, removed: true})
}

// SetLeaving sets whether a host is leaving. It returns false when the host does
// not exist.
func (h *Hosts) SetLeaving(name string, leaving bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	host, ok := h.hostsAt(time.Now())[name]
	if !ok {
		return false
	}
	host.Leaving = leaving
	h.changes = append(h.changes, hostChange{at: time.Now(), host: host})
	return true
}

// SetDown sets whether calls of Hosts fail.
func (h *Hosts) SetDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

func (h *Hosts) change(c hostChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.at = time.Now()
	h.changes = append(h.changes, c)
}

// hostsAt returns the hosts by name as of a time.
func (h *Hosts) hostsAt(at time.Time) map[string]briarspring.Host {
	hosts := map[string]briarspring.Host{}
	for _, c := range h.changes {
		if c.at.After(at) {
			break
		}
		if c.removed {
			delete(hosts, c.host.Name)
		} else {
			hosts[c.host.Name] = c.host
		}
	}
	return hosts
}

// Hosts returns the hosts of a data centre as of one lag ago, sorted by name. An
// empty data centre means all.
func (h *Hosts) Hosts(_ context.Context, dataCentre string) ([]briarspring.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil, &OutageError{Part: "hosts"}
	}
	var list []briarspring.Host
	for _, host := range h.hostsAt(time.Now().Add(-h.lag)) {
		if dataCentre == "" || host.DataCentre == dataCentre {
			list = append(list, host)
		}
	}
	slices.SortFunc(list, func(a, b briarspring.Host) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}
