package encoder

import (
	"google.golang.org/protobuf/proto"

	"briarspring"
	pb "briarspring/gen/briarspring/v1"
)

// EncodeInventory encodes the inventory of a data centre.
func EncodeInventory(v briarspring.Inventory) ([]byte, error) {
	m := &pb.Inventory{Token: v.Token, Racks: v.Racks}
	for _, k := range v.Kinds {
		m.Kinds = append(m.Kinds, &pb.WorkerKind{
			Service: k.Service, Label: k.Label, Workers: int32(k.Workers),
			MilliCpu: k.Largest.MilliCPU(), MemoryMib: k.Largest.MemoryMiB(), Accelerators: k.Largest.Accelerators(),
		})
	}
	for _, w := range v.Workers {
		m.Workers = append(m.Workers, knownWorkerMessage(w))
	}
	return proto.Marshal(m)
}

// DecodeInventory decodes the inventory of a data centre; errors are
// *MalformedError.
func DecodeInventory(data []byte) (briarspring.Inventory, error) {
	var m pb.Inventory
	if err := proto.Unmarshal(data, &m); err != nil {
		return briarspring.Inventory{}, &MalformedError{Input: "inventory", Cause: err}
	}
	v := briarspring.Inventory{Token: m.Token, Racks: m.Racks}
	for _, k := range m.Kinds {
		v.Kinds = append(v.Kinds, briarspring.WorkerKind{
			Service: k.Service, Label: k.Label, Workers: int(k.Workers),
			Largest: briarspring.NewResources(briarspring.ResourcesConfig{MilliCPU: k.MilliCpu, MemoryMiB: k.MemoryMib, Accelerators: k.Accelerators}),
		})
	}
	for _, w := range m.Workers {
		v.Workers = append(v.Workers, knownWorkerOf(w))
	}
	return v, nil
}

// EncodeKnownWorker encodes the record of a worker.
func EncodeKnownWorker(w briarspring.KnownWorker) ([]byte, error) {
	return proto.Marshal(knownWorkerMessage(w))
}

// DecodeKnownWorker decodes the record of a worker; errors are *MalformedError.
func DecodeKnownWorker(data []byte) (briarspring.KnownWorker, error) {
	var m pb.KnownWorker
	if err := proto.Unmarshal(data, &m); err != nil {
		return briarspring.KnownWorker{}, &MalformedError{Input: "known worker", Cause: err}
	}
	return knownWorkerOf(&m), nil
}

func knownWorkerMessage(w briarspring.KnownWorker) *pb.KnownWorker {
	return &pb.KnownWorker{Id: w.ID, Address: w.Address, Service: w.Service, Restarted: w.Restarted, Since: w.Since}
}

func knownWorkerOf(m *pb.KnownWorker) briarspring.KnownWorker {
	return briarspring.KnownWorker{ID: m.Id, Address: m.Address, Service: m.Service, Restarted: m.Restarted, Since: m.Since}
}
