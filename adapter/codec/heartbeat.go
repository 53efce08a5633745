package codec

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	fieldvalev1 "fieldvale/gen/fieldvale/v1"
	"fieldvale/peer"
	"fieldvale/rollout"
)

// EncodeHeartbeat returns the bytes that an instance's item carries.
func EncodeHeartbeat(h peer.Heartbeat) ([]byte, error) {
	b, err := proto.Marshal(&fieldvalev1.Instance{
		PeerAddr: h.Addr, DataCentre: h.DataCentre, Incarnation: h.Incarnation, EntryIncarnation: h.EntryIncarnation,
		Revision: h.Revision, EntryRevision: h.EntryRevision, StoreOk: h.StoreOK, EntryOk: h.EntryOK,
		Stopping: h.Stopping, LedgerUpto: h.LedgerUpto, Alarms: h.Alarms,
	})
	return b, errors.Wrap(err, "codec.EncodeHeartbeat")
}

// DecodeHeartbeat reads what EncodeHeartbeat wrote.
func DecodeHeartbeat(b []byte) (peer.Heartbeat, error) {
	var w fieldvalev1.Instance
	if err := proto.Unmarshal(b, &w); err != nil {
		return peer.Heartbeat{}, errors.Wrap(err, "codec.DecodeHeartbeat")
	}
	return peer.Heartbeat{
		Addr: w.PeerAddr, DataCentre: w.DataCentre, Incarnation: w.Incarnation, EntryIncarnation: w.EntryIncarnation,
		Revision: w.Revision, EntryRevision: w.EntryRevision, StoreOK: w.StoreOk, EntryOK: w.EntryOk,
		Stopping: w.Stopping, LedgerUpto: w.LedgerUpto, Alarms: w.Alarms,
	}, nil
}

// EncodeEvidence returns the bytes that an item of evidence carries.
func EncodeEvidence(e rollout.Outcomes) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(nil, e.Good), e.Bad)
}

// DecodeEvidence reads what EncodeEvidence wrote.
func DecodeEvidence(b []byte) (rollout.Outcomes, error) {
	g, n := binary.Uvarint(b)
	if n <= 0 {
		return rollout.Outcomes{}, errors.New("codec.DecodeEvidence: no good count")
	}
	d, m := binary.Uvarint(b[n:])
	if m <= 0 {
		return rollout.Outcomes{}, errors.New("codec.DecodeEvidence: no bad count")
	}
	return rollout.Outcomes{Good: g, Bad: d}, nil
}
