package encoder

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"briarspring"
	pb "briarspring/gen/briarspring/v1"
)

// EncodeQuotaPool encodes the data centres among which limits are split.
func EncodeQuotaPool(p briarspring.QuotaPool) ([]byte, error) {
	return proto.Marshal(&pb.QuotaPool{DataCentres: p.DataCentres})
}

// DecodeQuotaPool decodes the data centres among which limits are split; errors are
// *MalformedError.
func DecodeQuotaPool(data []byte) (briarspring.QuotaPool, error) {
	var m pb.QuotaPool
	if err := proto.Unmarshal(data, &m); err != nil {
		return briarspring.QuotaPool{}, &MalformedError{Input: "quota pool", Cause: err}
	}
	names := slices.Clone(m.DataCentres)
	slices.Sort(names)
	if len(names) == 0 || names[0] == "" || len(slices.Compact(names)) != len(m.DataCentres) {
		return briarspring.QuotaPool{}, malformed("quota pool", "its data centres are %q", m.DataCentres)
	}
	return briarspring.QuotaPool{DataCentres: names}, nil
}

// EncodeQuotaGrant encodes what a data centre has given of an organisation's limit.
func EncodeQuotaGrant(g briarspring.QuotaGrant) ([]byte, error) {
	return proto.Marshal(&pb.QuotaGrant{
		Token: g.Token, DataCentre: g.DataCentre, Organisation: g.Organisation, Given: encodeParts(g.Given),
		Received: encodeParts(g.Received),
	})
}

// DecodeQuotaGrant decodes what a data centre has given; errors are *MalformedError.
func DecodeQuotaGrant(data []byte) (briarspring.QuotaGrant, error) {
	var m pb.QuotaGrant
	if err := proto.Unmarshal(data, &m); err != nil {
		return briarspring.QuotaGrant{}, &MalformedError{Input: "quota grant", Cause: err}
	}
	return briarspring.QuotaGrant{
		Token: m.Token, DataCentre: m.DataCentre, Organisation: m.Organisation, Given: decodeParts(m.Given),
		Received: decodeParts(m.Received),
	}, nil
}

// EncodeQuotaRequest encodes the parts that a data centre's waiting tasks need.
func EncodeQuotaRequest(r briarspring.QuotaRequest) ([]byte, error) {
	return proto.Marshal(&pb.QuotaRequest{Token: r.Token, Wanted: encodeParts(r.Parts), InUse: encodeParts(r.InUse)})
}

// DecodeQuotaRequest decodes the parts that a data centre's waiting tasks need; errors
// are *MalformedError.
func DecodeQuotaRequest(data []byte) (briarspring.QuotaRequest, error) {
	var m pb.QuotaRequest
	if err := proto.Unmarshal(data, &m); err != nil {
		return briarspring.QuotaRequest{}, &MalformedError{Input: "quota request", Cause: err}
	}
	return briarspring.QuotaRequest{Token: m.Token, Parts: decodeParts(m.Wanted), InUse: decodeParts(m.InUse)}, nil
}

func encodeParts(parts map[string]int) []*pb.QuotaPart {
	var list []*pb.QuotaPart
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		list = append(list, &pb.QuotaPart{Name: name, Parts: uint64(parts[name])})
	}
	return list
}

func decodeParts(list []*pb.QuotaPart) map[string]int {
	parts := make(map[string]int, len(list))
	for _, p := range list {
		parts[p.Name] = int(p.Parts)
	}
	return parts
}
