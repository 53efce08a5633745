package codec

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	fieldvalev1 "fieldvale/gen/fieldvale/v1"
	"fieldvale/peer"
	"fieldvale/rollout"
)

// EncodeHeartbeat encodes a heartbeat as the value of an instance's peer.Item.
func EncodeHeartbeat(h peer.Heartbeat) ([]byte, error) {
	b, err := proto.Marshal(&fieldvalev1.Instance{
		PeerAddr: h.Addr, DataCentre: h.DataCentre, Incarnation: h.Incarnation, EntryIncarnation: h.EntryIncarnation,
		Revision: h.Revision, EntryRevision: h.EntryRevision, StoreOk: h.StoreOK, EntryOk: h.EntryOK,
		Stopping: h.Stopping, LedgerUpto: h.LedgerUpto, Alarms: h.Alarms,
	})
	return b, errors.Wrap(err, "codec: encode heartbeat")
}

// DecodeHeartbeat is the inverse of EncodeHeartbeat.
func DecodeHeartbeat(b []byte) (peer.Heartbeat, error) {
	var w fieldvalev1.Instance
	if err := proto.Unmarshal(b, &w); err != nil {
		return peer.Heartbeat{}, errors.Wrap(err, "codec: decode heartbeat")
	}
	return peer.Heartbeat{
		Addr: w.PeerAddr, DataCentre: w.DataCentre, Incarnation: w.Incarnation, EntryIncarnation: w.EntryIncarnation,
		Revision: w.Revision, EntryRevision: w.EntryRevision, StoreOK: w.StoreOk, EntryOK: w.EntryOk,
		Stopping: w.Stopping, LedgerUpto: w.LedgerUpto, Alarms: w.Alarms,
	}, nil
}

// EncodeEvidence encodes outcome counts as the value of a peer.Item.
func EncodeEvidence(e rollout.Outcomes) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(nil, e.Good), e.Bad)
}

// DecodeEvidence is the inverse of EncodeEvidence.
func DecodeEvidence(b []byte) (rollout.Outcomes, error) {
	g, n := binary.Uvarint(b)
	if n <= 0 {
		return rollout.Outcomes{}, errors.New("codec: decode evidence: good count is missing or invalid")
	}
	d, m := binary.Uvarint(b[n:])
	if m <= 0 {
		return rollout.Outcomes{}, errors.New("codec: decode evidence: bad count is missing or invalid")
	}
	return rollout.Outcomes{Good: g, Bad: d}, nil
}
