package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"briarspring"
)

// submissionWindow is the time over which an organisation's rate of submissions is
// measured: long enough that arrivals at random seldom exceed the rate by chance, and
// short enough that a burst is over soon after it ends.
const submissionWindow = 5 * time.Second

// submission is a workflow that an organisation has submitted.
type submission struct {
	at  int64 // Unix time in milliseconds, by the accepting host's clock.
	id  briarspring.WorkflowID
	job *job // Nil once the dispatcher has dropped it.
}

// submissions holds the workflows of an organisation that were submitted in one window,
// by time. Windows are aligned to the clock, so that a workflow's place depends on
// neither the order in which workflows arrive here nor the time at which they do.
type submissions struct {
	list []submission
	jobs int // Those that the dispatcher holds.
}

// windowOf returns the number of the window of a time.
func windowOf(ms int64) int64 {
	size := submissionWindow.Milliseconds()
	n := ms / size
	if ms%size < 0 {
		n--
	}
	return n
}

// submissionsWithin returns how many workflows of a window are within a weight, of so
// many a second. It is at least one, so that an organisation with a low weight is not
// always beyond it.
func submissionsWithin(weight float64) int {
	n := math.Ceil(weight * submissionWindow.Seconds())
	return int(min(max(n, 1), math.MaxInt32))
}

// place returns the place of a workflow in the window, and whether it is there already. Of
// workflows submitted at one time, the lower ID comes first.
func (s *submissions) place(j *job) (i int, found bool) {
	at := j.workflow.Submitted.UnixMilli()
	return slices.BinarySearchFunc(s.list, j, func(n submission, j *job) int {
		return cmp.Or(cmp.Compare(n.at, at), cmp.Compare(n.id, j.workflow.ID))
	})
}

// recordSubmission classes a new job by the rate of its organisation's submissions, and
// the one that it moves beyond the rate, if any.
func (o *organisation) recordSubmission(j *job) {
	if o.name == "" {
		return
	}
	at := j.workflow.Submitted.UnixMilli()
	number := windowOf(at)
	s := o.submissions[number]
	if s == nil {
		o.newestWindow = max(o.newestWindow, number)
		o.forgetWindows()
		s = &submissions{}
		if o.submissions == nil {
			o.submissions = map[int64]*submissions{}
		}
		o.submissions[number] = s
	}
	s.jobs++
	most := submissionsWithin(o.weight)
	i, found := s.place(j)
	j.beyondWeight = i >= most
	if found {
		s.list[i].job = j // It was dropped, and has come back.
		return
	}
	s.list = slices.Insert(s.list, i, submission{at: at, id: j.workflow.ID, job: j})
	if !j.beyondWeight && len(s.list) > most && s.list[most].job != nil {
		s.list[most].job.beyondWeight = true
	}
}

// forgetSubmission records that a job is dropped. Its place is kept as long as its window,
// so that the class of the others doesn't change.
func (o *organisation) forgetSubmission(j *job) {
	s := o.submissions[windowOf(j.workflow.Submitted.UnixMilli())]
	if s == nil {
		return
	}
	if i, found := s.place(j); found && s.list[i].job == j {
		s.list[i].job = nil
		s.jobs--
	}
}

// forgetWindows drops all windows without jobs but the newest two.
func (o *organisation) forgetWindows() {
	for number, s := range o.submissions {
		if s.jobs == 0 && number < o.newestWindow-1 {
			delete(o.submissions, number)
		}
	}
}

// reclassify classes all jobs anew after the weight has changed.
func (o *organisation) reclassify() {
	most := submissionsWithin(o.weight)
	for _, s := range o.submissions {
		for i, n := range s.list {
			if n.job != nil {
				n.job.beyondWeight = i >= most
			}
		}
	}
}
