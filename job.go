package briarspring

import "time"

const (
	// MaxTasks is the maximum number of tasks of a job or workflow.
	MaxTasks = 100000
	// MaxWeight is the maximum weight of a job.
	MaxWeight = 1000
	// MaxTries is the maximum number of starts of a failing task.
	MaxTries = 100
)

// JobConfig holds the fields of a Job.
type JobConfig struct {
	Name      string
	Team      string
	Class     string // Jobs of a class cause the same interference to services.
	Tasks     uint32
	Resources Resources     // Declared requirements of one task.
	Weight    uint32        // Jobs with higher weights are placed first.
	RunTime   time.Duration // Declared run time of one task.
	Command   string        // Command that the worker runs.
	MaxTries  uint32        // Starts of a failing task before it counts as failed.
}

// Job is a batch workload of independent tasks.
type Job struct {
	c JobConfig
}

// NewJob validates c and returns the job, or an *InvalidError.
func NewJob(c JobConfig) (Job, error) {
	j := Job{c: c}
	if problem := j.check(); problem != "" {
		return Job{}, &InvalidError{Object: "job/" + c.Name, Reason: problem}
	}
	return j, nil
}

// check returns why the job is invalid, or "".
func (j Job) check() string {
	if problem := checkNames(j.c.Name, j.c.Team); problem != "" {
		return problem
	}
	if !nameRe.MatchString(j.c.Class) {
		return "class must be 1 to 63 lower-case letters, digits and hyphens"
	}
	if problem := j.c.Resources.check(); problem != "" {
		return problem
	}
	if j.c.RunTime <= 0 {
		return "run time must be above zero"
	}
	return firstProblem(
		checkRange("tasks", j.c.Tasks, MaxTasks),
		checkRange("weight", j.c.Weight, MaxWeight),
		checkRange("tries", j.c.MaxTries, MaxTries),
	)
}

// Name returns the job's unique name.
func (j Job) Name() string { return j.c.Name }

// Team returns the team whose quota the job's tasks count against.
func (j Job) Team() string { return j.c.Team }

// Class returns the class of jobs that cause the same interference to services.
func (j Job) Class() string { return j.c.Class }

// Tasks returns the number of tasks.
func (j Job) Tasks() uint32 { return j.c.Tasks }

// Resources returns the declared requirements of one task.
func (j Job) Resources() Resources { return j.c.Resources }

// Weight returns the job's weight.
func (j Job) Weight() uint32 { return j.c.Weight }

// RunTime returns the declared run time of one task.
func (j Job) RunTime() time.Duration { return j.c.RunTime }

// Command returns the command that the worker runs.
func (j Job) Command() string { return j.c.Command }

// MaxTries returns the maximum number of starts of a failing task.
func (j Job) MaxTries() uint32 { return j.c.MaxTries }
