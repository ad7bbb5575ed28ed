// Package briarspring holds the domain types of a scheduler for
// latency-critical services and batch jobs that share workers.
package briarspring

import "fmt"

// MilliCPUPerCore is the number of thousandths in one core.
const MilliCPUPerCore = 1000

// ResourcesConfig holds the fields of a Resources value.
type ResourcesConfig struct {
	MilliCPU     int64 // Thousandths of a core.
	MemoryMiB    int64 // Mebibytes.
	Accelerators int64 // Whole devices.
}

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	milliCPU     int64
	memoryMiB    int64
	accelerators int64
}

// NewResources returns the Resources that c describes.
func NewResources(c ResourcesConfig) Resources {
	return Resources{milliCPU: c.MilliCPU, memoryMiB: c.MemoryMiB, accelerators: c.Accelerators}
}

// MilliCPU returns the processors in thousandths of a core.
func (r Resources) MilliCPU() int64 { return r.milliCPU }

// MemoryMiB returns the memory in mebibytes.
func (r Resources) MemoryMiB() int64 { return r.memoryMiB }

// Accelerators returns the number of whole accelerators.
func (r Resources) Accelerators() int64 { return r.accelerators }

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.milliCPU + o.milliCPU, r.memoryMiB + o.memoryMiB, r.accelerators + o.accelerators}
}

// Sub returns r minus o; fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.milliCPU - o.milliCPU, r.memoryMiB - o.memoryMiB, r.accelerators - o.accelerators}
}

// Times returns the amount multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{r.milliCPU * n, r.memoryMiB * n, r.accelerators * n}
}

// Fits reports whether no field of r exceeds that of o.
func (r Resources) Fits(o Resources) bool {
	return r.milliCPU <= o.milliCPU && r.memoryMiB <= o.memoryMiB && r.accelerators <= o.accelerators
}

// Max returns the maximum of each field.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.milliCPU, o.milliCPU), max(r.memoryMiB, o.memoryMiB), max(r.accelerators, o.accelerators)}
}

// IsZero reports whether every field is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// String formats the amount for logs and tables.
func (r Resources) String() string {
	return fmt.Sprintf("%dm/%dMiB/%da", r.milliCPU, r.memoryMiB, r.accelerators)
}

// check returns why r is invalid as the requirements of one task, or "".
func (r Resources) check() string {
	if r.milliCPU <= 0 {
		return "processors must be above zero"
	}
	if r.memoryMiB <= 0 {
		return "memory must be above zero"
	}
	if r.accelerators < 0 {
		return "accelerators can't be negative"
	}
	return ""
}
