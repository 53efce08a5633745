// Package quarantine tracks what crashes the replicas that run it, across attempts and instances, and
// decides whether a request that carries it may be sent again. Two kinds of subjects are tracked: the
// content of a request, that is, what its client asks for without the ids of the request and its
// attempts; and the parts of its prompt that other requests share, which may crash replicas in ever
// new requests.
//
// A replica that crashes takes down all requests that it runs or queues, so nearly all requests
// that are present at a crash are innocent. Three properties identify the culprit: it is present at
// one crash after another; it is never served; and crashes that are attributed to another quarantined
// subject don't count against it. A content that was present at two crashes is sent
// only on trial, one trial at a time in the whole fleet. A complete response takes half a crash off
// its score. A content that crashes a replica on trial is held, that is, gets no replica for some
// time, as soon as its crashes and trials without a result add up to five.
//
// A part crashes replicas as answers to requests with it begin. A crash counts fully against a part if
// an answer was just beginning, and less if the request may only have waited. An answer that goes on
// for BeginWindow has survived, which takes off part of the score, as the first part of most prompts
// is at nearly every crash. Before a part becomes suspect, all instances report their survivals. A held
// part whose crashes are all explained by other held subjects is sent on trial in a request without
// these.
//
// The records of a subject are kept by its owners, the two registered members that rank highest for
// its fingerprint. Every instance reports crashes to the owners and asks them before each further
// attempt; the owners broadcast the records of suspects to all instances. What is held is also written
// to the store, so that it survives the loss of all instances.
package quarantine

import "time"

const (
	// contentSuspectScore is the score from which a content is sent only on trial. With a score of 1,
	// every request that was at a replica when it crashed would be suspect: some 60 requests a
	// crash, each of which has to ask an owner.
	contentSuspectScore = 2.0
	// heldScore is the sum of score and trials without a result from which a content is held.
	// Operators require that at most three requests with the content arrive after its third crash;
	// two of these may be trials.
	heldScore = 5.0
	// minTrialEvidence is the evidence from trials that is required before a content is held: a
	// trial that crashed its replica counts 2, one without a result 1. Requests with the same
	// content may be at many replicas at once, so an outage of half of the replicas is no proof.
	minTrialEvidence = 2
	// servedCredit is what a complete response takes off the score. If it took off half of the
	// score instead, a content that crashes the replica in one run out of two would crash 22
	// replicas in 20 s (TestQuarantineErrorRates).
	servedCredit = 0.5
	// clearScore is the score below which a record is deleted.
	clearScore = 1.0
	// maxScore bounds the score, so that a few complete responses clear a content that many clients
	// send.
	maxScore = 6.0

	// suspectFor is how long after its last crash a content stays suspect, heldFor how long after
	// it a content is held. After heldFor a held content gets one trial, and after the same time
	// again its record expires.
	suspectFor = time.Minute
	heldFor    = 10 * time.Minute
	// trialTimeout bounds how long a trial blocks other requests with its content if its result is
	// never reported. Few requests run longer.
	trialTimeout = 10 * time.Second
)
