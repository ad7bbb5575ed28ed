package briarspring

import (
	"fmt"
	"regexp"
	"strings"
)

// Limits on services.
const (
	// MaxExecutors is the maximum number of executors of a service.
	MaxExecutors = 10000
	// MaxSlots is the maximum number of slots of an executor.
	MaxSlots = 1024
	// MaxConnections is the maximum number of connections of an executor.
	MaxConnections = 65536
)

var nameRe = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ServiceConfig holds the fields of a Service.
type ServiceConfig struct {
	Name        string
	Team        string
	Prefix      string    // Path prefix of callers' requests, such as "/ledger/".
	Resources   Resources // Requirements of one executor.
	Executors   uint32    // Total of all data centres.
	Slots       uint32    // Concurrent requests of one executor.
	Connections uint32    // Connections that one executor accepts.
	Command     string    // Command that the worker runs.
}

// Service is a latency-critical workload that serves callers' requests.
type Service struct {
	c ServiceConfig
}

// NewService validates c and returns the service, or an *InvalidError.
func NewService(c ServiceConfig) (Service, error) {
	s := Service{c: c}
	if problem := s.check(); problem != "" {
		return Service{}, &InvalidError{Object: "service/" + c.Name, Reason: problem}
	}
	return s, nil
}

// check returns why the service is invalid, or "".
func (s Service) check() string {
	if problem := checkNames(s.c.Name, s.c.Team); problem != "" {
		return problem
	}
	if !strings.HasPrefix(s.c.Prefix, "/") || !strings.HasSuffix(s.c.Prefix, "/") || len(s.c.Prefix) < 3 {
		return fmt.Sprintf("prefix %q must begin and end with a slash and name something", s.c.Prefix)
	}
	if problem := s.c.Resources.check(); problem != "" {
		return problem
	}
	return firstProblem(
		checkRange("executors", s.c.Executors, MaxExecutors),
		checkRange("slots", s.c.Slots, MaxSlots),
		checkRange("connections", s.c.Connections, MaxConnections),
	)
}

// Name returns the service's unique name.
func (s Service) Name() string { return s.c.Name }

// Team returns the team whose quota applies to the service's requests.
func (s Service) Team() string { return s.c.Team }

// Prefix returns the path prefix of callers' requests.
func (s Service) Prefix() string { return s.c.Prefix }

// Resources returns the requirements of one executor.
func (s Service) Resources() Resources { return s.c.Resources }

// Executors returns the total number of executors in all data centres.
func (s Service) Executors() uint32 { return s.c.Executors }

// Slots returns the maximum number of concurrent requests of one executor.
func (s Service) Slots() uint32 { return s.c.Slots }

// Connections returns the maximum number of connections of one executor.
func (s Service) Connections() uint32 { return s.c.Connections }

// Command returns the command that the worker runs.
func (s Service) Command() string { return s.c.Command }

// checkNames returns why a name or team is invalid, or "".
func checkNames(name, team string) string {
	if !nameRe.MatchString(name) {
		return fmt.Sprintf("name %q must be 1 to 63 lower-case letters, digits and hyphens", name)
	}
	if !nameRe.MatchString(team) {
		return fmt.Sprintf("team %q must be 1 to 63 lower-case letters, digits and hyphens", team)
	}
	return ""
}

// firstProblem returns the first of the problems that is not empty, or "".
func firstProblem(problems ...string) string {
	for _, p := range problems {
		if p != "" {
			return p
		}
	}
	return ""
}

// checkRange returns why a field is outside 1 to limit, or "".
func checkRange(field string, value, limit uint32) string {
	if value < 1 || value > limit {
		return fmt.Sprintf("%s must be 1 to %d, not %d", field, limit, value)
	}
	return ""
}
