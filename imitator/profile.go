package imitator

import (
	"strconv"
	"strings"
	"time"
)

// failAfter is how long a failing task runs.
const failAfter = 50 * time.Millisecond

// profile is the simulated behaviour of a task, read from its command.
type profile struct {
	time      time.Duration      // Run time of a batch task, or work of one request.
	fail      bool               // Whether the task always fails.
	usedShare float64            // Fraction of the declared resources that is used.
	variation float64            // Fraction of a request's work that varies, exponentially distributed.
	noise     map[string]float64 // Slowdown of executors on the same worker, by service; "" for any.
}

// parseProfile reads a command such as "time=2s noise=0.1 noise-ledger=0.8".
// Unknown words are ignored, as arguments of the program.
func parseProfile(command string) profile {
	p := profile{time: time.Second, usedShare: 1, noise: map[string]float64{}}
	for _, word := range strings.Fields(command) {
		key, value, _ := strings.Cut(word, "=")
		service, isNoise := strings.CutPrefix(key, "noise")
		switch {
		case key == "time":
			if d, err := time.ParseDuration(value); err == nil {
				p.time = d
			}
		case key == "fail":
			p.fail = value == "always"
		case key == "vary":
			if f, err := strconv.ParseFloat(value, 64); err == nil {
				p.variation = f
			}
		case key == "use":
			if f, err := strconv.ParseFloat(value, 64); err == nil {
				p.usedShare = f
			}
		case isNoise:
			if f, err := strconv.ParseFloat(value, 64); err == nil {
				p.noise[strings.TrimPrefix(service, "-")] = f
			}
		}
	}
	return p
}

// noiseFor returns how much the task slows executors of a service.
func (p profile) noiseFor(service string) float64 {
	if f, ok := p.noise[service]; ok {
		return f
	}
	return p.noise[""]
}
