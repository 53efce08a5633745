// Package quota enforces fleet-wide rate limits on replicas. An overloaded replica advertises in
// its responses, for as long as the overload lasts, how many requests a second it takes from all
// instances together. A cold replica, one that has just started, takes few requests without
// advertising a limit.
//
// Each instance keeps a LimitRecord of each replica, built from the LimitReports of its responses
// and merged with the records of other instances. Decide determines from a replica's bound and
// its recent requests whether it may get one more now. One instance, the owner, counts the requests
// to all replicas of a service, and the others ask it for permits (Node.AcquirePermit). There is no
// consensus and no stored state: each instance ranks its list of members by a hash of the service,
// and the owner is the highest-ranked member that is not silent.
package quota
