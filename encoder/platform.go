package encoder

import (
	"time"

	"briarspring"
	ppb "briarspring/gen/platform/v1"
)

func millis(d time.Duration) int64 { return d.Milliseconds() }

func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// EncodeLogPage maps a page of a log to its message.
func EncodeLogPage(p briarspring.LogPage) *ppb.ReadResponse {
	m := &ppb.ReadResponse{Oldest: p.Oldest, Next: p.Next}
	for _, e := range p.Entries {
		m.Entries = append(m.Entries, &ppb.Entry{Offset: e.Offset, Record: e.Record})
	}
	return m
}

// DecodeLogPage maps a message to a page of a log.
func DecodeLogPage(m *ppb.ReadResponse) briarspring.LogPage {
	p := briarspring.LogPage{Oldest: m.GetOldest(), Next: m.GetNext()}
	for _, e := range m.GetEntries() {
		p.Entries = append(p.Entries, briarspring.LogEntry{Offset: e.GetOffset(), Record: e.GetRecord()})
	}
	return p
}

// EncodeHosts maps a list of hosts to its message.
func EncodeHosts(hosts []briarspring.Host) *ppb.ListResponse {
	m := &ppb.ListResponse{}
	for _, h := range hosts {
		m.Hosts = append(m.Hosts, &ppb.Host{
			Name: h.Name, DataCentre: h.DataCentre, Rack: h.Rack, Address: h.Address, Leaving: h.Leaving,
		})
	}
	return m
}

// DecodeHosts maps a message to a list of hosts.
func DecodeHosts(m *ppb.ListResponse) []briarspring.Host {
	var hosts []briarspring.Host
	for _, h := range m.GetHosts() {
		hosts = append(hosts, briarspring.Host{
			Name: h.GetName(), DataCentre: h.GetDataCentre(), Rack: h.GetRack(),
			Address: h.GetAddress(), Leaving: h.GetLeaving(),
		})
	}
	return hosts
}

func encodeTaskKey(a briarspring.AttemptID) *ppb.TaskKey {
	return &ppb.TaskKey{Workload: uint64(a.Task.Workload), Index: a.Task.Index, Attempt: a.Attempt}
}

func encodeTaskKeys(attempts []briarspring.AttemptID) []*ppb.TaskKey {
	var keys []*ppb.TaskKey
	for _, a := range attempts {
		keys = append(keys, encodeTaskKey(a))
	}
	return keys
}

func decodeTaskKeys(keys []*ppb.TaskKey) []briarspring.AttemptID {
	var attempts []briarspring.AttemptID
	for _, m := range keys {
		attempts = append(attempts, decodeAttempt(m))
	}
	return attempts
}

// EncodeExchange maps the commands for a worker to their message.
func EncodeExchange(e briarspring.Exchange) *ppb.ExchangeRequest {
	m := &ppb.ExchangeRequest{
		Worker: e.Worker, Epoch: e.Epoch, LeaseUntilMs: millis(e.LeaseUntil), Incarnation: e.Incarnation,
		Stops: encodeTaskKeys(e.Stops), Forget: encodeTaskKeys(e.Forget),
		WaitMs: uint32(millis(e.Wait)), Seen: e.Seen,
	}
	for _, s := range e.Starts {
		m.Starts = append(m.Starts, &ppb.StartTask{
			Key: encodeTaskKey(s.Attempt), NotAfterMs: millis(s.NotAfter), Checkpoint: s.Checkpoint,
			Command: s.Command, Name: s.Name, MilliCpu: s.Resources.MilliCPU(),
			MemoryMib: s.Resources.MemoryMiB(), Accelerators: s.Resources.Accelerators(),
			Service: s.Service, Slots: s.Slots, Connections: s.Connections,
		})
	}
	for _, t := range e.Throttles {
		m.Throttles = append(m.Throttles, &ppb.Throttle{Key: encodeTaskKey(t.Attempt), Percent: t.Percent})
	}
	return m
}

// DecodeExchange maps a message to a worker's commands.
func DecodeExchange(m *ppb.ExchangeRequest) briarspring.Exchange {
	e := briarspring.Exchange{
		Worker: m.GetWorker(), Epoch: m.GetEpoch(), LeaseUntil: fromMillis(m.GetLeaseUntilMs()),
		Incarnation: m.GetIncarnation(), Stops: decodeTaskKeys(m.GetStops()), Forget: decodeTaskKeys(m.GetForget()),
		Wait: fromMillis(int64(m.GetWaitMs())), Seen: m.GetSeen(),
	}
	for _, s := range m.GetStarts() {
		e.Starts = append(e.Starts, briarspring.StartTask{
			Attempt: decodeAttempt(s.GetKey()), NotAfter: fromMillis(s.GetNotAfterMs()),
			Checkpoint: s.GetCheckpoint(), Command: s.GetCommand(), Name: s.GetName(),
			Resources: briarspring.NewResources(briarspring.ResourcesConfig{
				MilliCPU: s.GetMilliCpu(), MemoryMiB: s.GetMemoryMib(), Accelerators: s.GetAccelerators(),
			}),
			Service: s.GetService(), Slots: s.GetSlots(), Connections: s.GetConnections(),
		})
	}
	for _, t := range m.GetThrottles() {
		e.Throttles = append(e.Throttles, briarspring.Throttle{
			Attempt: decodeAttempt(t.GetKey()), Percent: t.GetPercent(),
		})
	}
	return e
}

// EncodeWorkerReport maps a worker's report to its message.
func EncodeWorkerReport(r briarspring.WorkerReport) *ppb.ExchangeResponse {
	m := &ppb.ExchangeResponse{
		ClockMs: millis(r.Clock), Incarnation: r.Incarnation, Epoch: r.Epoch, LeaseUntilMs: millis(r.LeaseUntil),
		Rack: r.Rack, MilliCpu: r.Capacity.MilliCPU(), MemoryMib: r.Capacity.MemoryMiB(),
		Accelerators: r.Capacity.Accelerators(), Version: r.Version, Whole: r.Whole,
	}
	for _, t := range r.Tasks {
		m.Tasks = append(m.Tasks, &ppb.TaskReport{
			Key: encodeTaskKey(t.Attempt), Phase: ppb.TaskPhase(t.Phase), Checkpoint: t.Checkpoint, Address: t.Address,
		})
	}
	for _, u := range r.Usage {
		m.Usage = append(m.Usage, &ppb.Usage{
			Key: encodeTaskKey(u.Attempt), TakenMs: millis(u.Taken), MilliCpu: u.MilliCPU,
			MemoryMib: u.MemoryMiB, P99Us: u.P99.Microseconds(), Requests: u.Requests,
		})
	}
	return m
}

// DecodeWorkerReport maps a message to a worker's report; errors are
// *MalformedError.
func DecodeWorkerReport(m *ppb.ExchangeResponse) (briarspring.WorkerReport, error) {
	r := briarspring.WorkerReport{
		Clock: fromMillis(m.GetClockMs()), Incarnation: m.GetIncarnation(), Epoch: m.GetEpoch(),
		LeaseUntil: fromMillis(m.GetLeaseUntilMs()), Rack: m.GetRack(), Version: m.GetVersion(), Whole: m.GetWhole(),
		Capacity: briarspring.NewResources(briarspring.ResourcesConfig{
			MilliCPU: m.GetMilliCpu(), MemoryMiB: m.GetMemoryMib(), Accelerators: m.GetAccelerators(),
		}),
	}
	for _, t := range m.GetTasks() {
		phase := t.GetPhase()
		if phase < ppb.TaskPhase_TASK_PHASE_RUNNING || phase > ppb.TaskPhase_TASK_PHASE_LAPSED {
			return briarspring.WorkerReport{}, malformed("worker report", "task phase %d", phase)
		}
		r.Tasks = append(r.Tasks, briarspring.TaskReport{
			Attempt: decodeAttempt(t.GetKey()), Phase: briarspring.TaskPhase(phase),
			Checkpoint: t.GetCheckpoint(), Address: t.GetAddress(),
		})
	}
	for _, u := range m.GetUsage() {
		r.Usage = append(r.Usage, briarspring.Usage{
			Attempt: decodeAttempt(u.GetKey()), Taken: fromMillis(u.GetTakenMs()), MilliCPU: u.GetMilliCpu(),
			MemoryMiB: u.GetMemoryMib(), P99: time.Duration(u.GetP99Us()) * time.Microsecond,
			Requests: u.GetRequests(),
		})
	}
	return r, nil
}
