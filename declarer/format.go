package declarer

import (
	"fmt"
	"strings"

	"briarspring"
)

// Format returns an object in the INI format that Parse reads.
func Format(o Object) string {
	var b strings.Builder
	switch {
	case o.Service != nil:
		s := o.Service
		fmt.Fprintf(&b, "[service %s]\nteam = %s\nprefix = %s\n", s.Name(), s.Team(), s.Prefix())
		formatResources(&b, s.Resources())
		fmt.Fprintf(&b, "executors = %d\nslots = %d\nconnections = %d\ncommand = %s\n",
			s.Executors(), s.Slots(), s.Connections(), s.Command())
	case o.Job != nil:
		j := o.Job
		fmt.Fprintf(&b, "[job %s]\nteam = %s\nclass = %s\ntasks = %d\n", j.Name(), j.Team(), j.Class(), j.Tasks())
		formatResources(&b, j.Resources())
		fmt.Fprintf(&b, "weight = %d\nrun-time = %s\nmax-tries = %d\ncommand = %s\n",
			j.Weight(), j.RunTime(), j.MaxTries(), j.Command())
	case o.Quota != nil:
		q := o.Quota
		fmt.Fprintf(&b, "[quota %s]\n", q.Team())
		formatResources(&b, q.Resources())
		fmt.Fprintf(&b, "requests-per-second = %d\n", q.RequestsPerSecond())
	}
	return b.String()
}

func formatResources(b *strings.Builder, r briarspring.Resources) {
	fmt.Fprintf(b, "cpu = %g\nmemory = %dMiB\naccelerators = %d\n",
		float64(r.MilliCPU())/briarspring.MilliCPUPerCore, r.MemoryMiB(), r.Accelerators())
}
