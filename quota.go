package briarspring

// QuotaConfig holds the fields of a Quota.
type QuotaConfig struct {
	Team              string
	Resources         Resources // Total that the team's batch tasks may use at once.
	RequestsPerSecond uint32    // Limit at each gateway; zero means no limit.
}

// Quota limits the resources and the request rate of a team.
type Quota struct {
	c QuotaConfig
}

// NewQuota validates c and returns the quota, or an *InvalidError.
func NewQuota(c QuotaConfig) (Quota, error) {
	if problem := checkNames(c.Team, c.Team); problem != "" {
		return Quota{}, &InvalidError{Object: "quota/" + c.Team, Reason: problem}
	}
	if c.Resources.milliCPU < 0 || c.Resources.memoryMiB < 0 || c.Resources.accelerators < 0 {
		return Quota{}, &InvalidError{Object: "quota/" + c.Team, Reason: "resources can't be negative"}
	}
	return Quota{c: c}, nil
}

// Team returns the team that the quota applies to.
func (q Quota) Team() string { return q.c.Team }

// Resources returns the total that the team's batch tasks may use at once.
func (q Quota) Resources() Resources { return q.c.Resources }

// RequestsPerSecond returns the limit at each gateway; zero means no limit.
func (q Quota) RequestsPerSecond() uint32 { return q.c.RequestsPerSecond }
