package applier

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"briarspring"
	"briarspring/encoder"
	pb "briarspring/gen/briarspring/v1"
)

// Snapshot encodes the state. Equal states give equal bytes.
func (p *Placement) Snapshot() ([]byte, error) {
	m := &pb.PlacementSnapshot{
		Applied: p.applied, Epoch: p.epoch, Owner: p.owner.Name, OwnerIncarnation: p.owner.Incarnation,
		Resigned: p.resigned, Seen: p.minSeen, Writers: p.writers.encode(),
	}
	for _, w := range p.workers {
		m.Workers = append(m.Workers, &pb.PlacementSnapshot_Worker{
			Number: w.number, Name: w.name, Incarnation: w.incarnation, Rack: w.rack,
			Capacity: encoder.EncodeResources(w.capacity), Gone: w.gone, Declared: w.declaredLostAt,
		})
	}
	for _, id := range sortedKeys(p.adopted) {
		m.Workloads = append(m.Workloads, encodeAdopted(p.adopted[id]))
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

func encodeAdopted(l *AdoptedWorkload) *pb.PlacementSnapshot_Workload {
	m := &pb.PlacementSnapshot_Workload{
		Id: uint64(l.id), Offset: l.offset, Resources: encoder.EncodeResources(l.resources),
		Service: l.service, MaxTries: l.maxTries, Done: l.done, Failed: l.failed, Evictions: l.evictions,
	}
	for _, sp := range l.fresh {
		m.Fresh = append(m.Fresh, &pb.PlacementSnapshot_Span{First: sp.First, End: sp.End})
	}
	for _, t := range l.Tasks() {
		m.Tasks = append(m.Tasks, &pb.PlacementSnapshot_Task{
			Index: t.index, Attempt: t.attempt, Phase: uint32(t.phase), Worker: t.worker,
			Checkpoint: t.checkpoint, Failures: t.failures, ReleasedTo: t.releasedTo,
			Cancelled: t.cancelled, Evicting: t.evicting, Address: t.address,
		})
	}
	return m
}

// RestorePlacement decodes a state that Snapshot encoded. Errors are
// *encoder.MalformedError.
func RestorePlacement(data []byte) (*Placement, error) {
	var m pb.PlacementSnapshot
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, &encoder.MalformedError{Input: "placement snapshot", Cause: err}
	}
	p := NewPlacement()
	p.applied = m.GetApplied()
	p.epoch = m.GetEpoch()
	p.owner = briarspring.Writer{Name: m.GetOwner(), Incarnation: m.GetOwnerIncarnation()}
	p.resigned = m.GetResigned()
	p.minSeen = m.GetSeen()
	p.writers = decodeWriters(m.GetWriters())
	for i, wm := range m.GetWorkers() {
		w := &Worker{
			number: uint32(i) + 1, name: wm.GetName(), incarnation: wm.GetIncarnation(), rack: wm.GetRack(),
			capacity: encoder.DecodeResources(wm.GetCapacity()), gone: wm.GetGone(), declaredLostAt: wm.GetDeclared(),
			tasks: map[briarspring.TaskID]*Task{},
		}
		p.workers = append(p.workers, w)
		p.byName[w.name] = w
	}
	for _, lm := range m.GetWorkloads() {
		if err := p.restoreAdopted(lm); err != nil {
			return nil, &encoder.MalformedError{Input: "placement snapshot", Cause: err}
		}
	}
	return p, nil
}

func (p *Placement) restoreAdopted(m *pb.PlacementSnapshot_Workload) error {
	l := &AdoptedWorkload{
		id: briarspring.WorkloadID(m.GetId()), offset: m.GetOffset(),
		resources: encoder.DecodeResources(m.GetResources()), service: m.GetService(), maxTries: m.GetMaxTries(),
		done: m.GetDone(), failed: m.GetFailed(), evictions: m.GetEvictions(),
		tasks: map[uint32]*Task{}, waiting: map[uint32]struct{}{},
	}
	for _, sm := range m.GetFresh() {
		l.fresh.add(sm.GetFirst(), sm.GetEnd())
	}
	for _, tm := range m.GetTasks() {
		t := &Task{
			index: tm.GetIndex(), attempt: tm.GetAttempt(), phase: Phase(tm.GetPhase()), worker: tm.GetWorker(),
			checkpoint: tm.GetCheckpoint(), failures: tm.GetFailures(), releasedTo: tm.GetReleasedTo(),
			cancelled: tm.GetCancelled(), evicting: tm.GetEvicting(), address: tm.GetAddress(),
		}
		if err := p.restoreTask(l, t); err != nil {
			return err
		}
	}
	p.adopted[l.id] = l
	return nil
}

func (p *Placement) restoreTask(l *AdoptedWorkload, t *Task) error {
	l.tasks[t.index] = t
	switch t.phase {
	case PhaseWaiting:
		l.waiting[t.index] = struct{}{}
	case PhasePlaced:
		w := p.Worker(t.worker)
		if w == nil {
			return fmt.Errorf("task %d/%d is on unknown worker %d", l.id, t.index, t.worker)
		}
		w.committed = w.committed.Add(l.resources)
		w.tasks[briarspring.TaskID{Workload: l.id, Index: t.index}] = t
		l.placed++
	case PhaseReleased:
		l.released++
	case PhaseFailed:
	default:
		return fmt.Errorf("task %d/%d has unknown phase %d", l.id, t.index, t.phase)
	}
	return nil
}
