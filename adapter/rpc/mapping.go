// Package rpc has the clients and servers of the protocols between fieldvale's own processes
// and of the administration API, all over Connect. It converts their messages to and from
// domain types.
package rpc

import (
	"slices"
	"time"

	"fieldvale/bill"
	fieldvalev1 "fieldvale/gen/fieldvale/v1"
	"fieldvale/peer"
	"fieldvale/pool"
	"fieldvale/rollout"
	"fieldvale/version"
)

// parseVersions parses version ids and drops invalid ones without an error, since the sending
// processes are fieldvale's own and have checked the ids.
func parseVersions(l []string) []version.ID {
	var r []version.ID
	for _, s := range l {
		if v, err := version.Parse(s); err == nil {
			r = append(r, v)
		}
	}
	return r
}

func versionStrings(l []version.ID) []string {
	r := make([]string, len(l))
	for i, v := range l {
		r[i] = v.String()
	}
	return r
}

func replicaToWire(r pool.Replica) *fieldvalev1.Replica {
	return &fieldvalev1.Replica{
		Id: r.ID, Addr: r.Addr, DataCentre: r.DataCentre, Kind: string(r.Kind), Service: r.Service,
		Versions: versionStrings(r.Versions), Slots: int32(r.Slots), ChecksFence: r.ChecksFencingToken, Leaving: r.Draining,
		Running: int32(r.Load.Running), Waiting: int32(r.Load.Waiting), LoadAt: r.Load.ReportedAt.UnixNano(), LoadLocal: int32(r.Load.Local),
	}
}

func replicaFromWire(w *fieldvalev1.Replica) pool.Replica {
	return pool.Replica{
		ID: w.Id, Addr: w.Addr, DataCentre: w.DataCentre, Kind: pool.Kind(w.Kind), Service: w.Service,
		Versions: parseVersions(w.Versions), Slots: int(w.Slots), ChecksFencingToken: w.ChecksFence, Draining: w.Leaving,
		Load: pool.Load{Running: int(w.Running), Waiting: int(w.Waiting), ReportedAt: time.Unix(0, w.LoadAt), Local: int(w.LoadLocal)},
	}
}

func memberToWire(m peer.Member) *fieldvalev1.Member {
	return &fieldvalev1.Member{Id: m.ID, PeerAddr: m.Addr, DataCentre: m.DataCentre}
}

func memberFromWire(w *fieldvalev1.Member) peer.Member {
	return peer.Member{ID: w.Id, Addr: w.PeerAddr, DataCentre: w.DataCentre}
}

func lineToWire(l bill.Line, a bill.Amount) *fieldvalev1.LedgerLine {
	return &fieldvalev1.LedgerLine{
		Team: l.Team, Customer: l.Customer, Version: l.Version.String(),
		Requests: a.Requests, TokensIn: a.TokensIn, TokensOut: a.TokensOut, Cost: a.Cost,
	}
}

func lineFromWire(w *fieldvalev1.LedgerLine) (bill.Line, bill.Amount, error) {
	v, err := version.Parse(w.GetVersion())
	l := bill.Line{Team: w.GetTeam(), Customer: w.GetCustomer(), Version: v}
	a := bill.Amount{Requests: w.GetRequests(), TokensIn: w.GetTokensIn(), TokensOut: w.GetTokensOut(), Cost: w.GetCost()}
	return l, a, err
}

func ledgerToWire(l bill.Ledger) *fieldvalev1.Ledger {
	w := &fieldvalev1.Ledger{Owner: l.Owner, Upto: l.SettledUpto, Changes: l.Changes}
	for n := range l.SettledAbove {
		w.Above = append(w.Above, n)
	}
	slices.Sort(w.Above)
	for k, a := range l.Sums {
		w.Lines = append(w.Lines, lineToWire(k, a))
	}
	return w
}

func ledgerFromWire(w *fieldvalev1.Ledger) (bill.Ledger, error) {
	l := bill.NewLedger(w.GetOwner())
	l.SettledUpto, l.Changes = w.GetUpto(), w.GetChanges()
	l.SettledAbove, l.Sums = map[uint64]bool{}, map[bill.Line]bill.Amount{}
	for _, n := range w.GetAbove() {
		l.SettledAbove[n] = true
	}
	for _, x := range w.GetLines() {
		k, a, err := lineFromWire(x)
		if err != nil {
			return l, err
		}
		l.Sums[k] = a
	}
	return l, nil
}

func recordToWire(r bill.Record) *fieldvalev1.BillRecord {
	return &fieldvalev1.BillRecord{RequestId: r.RequestID, Owner: r.Owner, Seq: r.Seq, Line: lineToWire(r.Line, r.Amount)}
}

func recordsFromWire(w []*fieldvalev1.BillRecord) ([]bill.Record, error) {
	r := make([]bill.Record, len(w))
	for i, x := range w {
		l, a, err := lineFromWire(x.Line)
		if err != nil {
			return nil, err
		}
		r[i] = bill.Record{RequestID: x.RequestId, Owner: x.Owner, Seq: x.Seq, Line: l, Amount: a}
	}
	return r, nil
}

func itemsToWire(l []peer.Item) []*fieldvalev1.Item {
	r := make([]*fieldvalev1.Item, len(l))
	for i, x := range l {
		r[i] = &fieldvalev1.Item{Kind: int32(x.Key.Kind), Name: x.Key.Name, Version: x.Version, Value: x.Value, Expires: x.Expires.UnixMilli()}
	}
	return r
}

func itemsFromWire(w []*fieldvalev1.Item) []peer.Item {
	r := make([]peer.Item, len(w))
	for i, x := range w {
		k := peer.Key{Kind: peer.Kind(x.Kind), Name: x.Name}
		r[i] = peer.Item{Key: k, Version: x.Version, Value: x.Value, Expires: time.UnixMilli(x.Expires)}
	}
	return r
}

func evidenceToWire(m map[version.ID]rollout.Outcomes) []*fieldvalev1.Evidence {
	var r []*fieldvalev1.Evidence
	for v, e := range m {
		r = append(r, &fieldvalev1.Evidence{Version: v.String(), Good: e.Good, Bad: e.Bad})
	}
	return r
}

// evidenceFromWire converts outcome counts by version. It drops those of invalid version ids.
func evidenceFromWire(l []*fieldvalev1.Evidence) map[version.ID]rollout.Outcomes {
	r := map[version.ID]rollout.Outcomes{}
	for _, x := range l {
		if v, err := version.Parse(x.Version); err == nil {
			r[v] = rollout.Outcomes{Good: x.Good, Bad: x.Bad}
		}
	}
	return r
}

// timeToWire returns the Unix time in nanoseconds, and 0 for the zero time.
func timeToWire(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// timeFromWire is the inverse of timeToWire.
func timeFromWire(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
