package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/codec"
	"fieldvale/claim"
	"fieldvale/store"
)

// claimBatchSize is the maximum number of claims in one call to the store.
const claimBatchSize = 48

// claimBatchDelay is how long the first claim of a batch waits for others to join
// it.
const claimBatchDelay = 2 * time.Millisecond

// queuedClaim is a claim in the queue and the channel for its result.
type queuedClaim struct {
	claim claim.Claim
	reply chan claimResult
}

// claimResult is the verdict on a claim and the claim that the store has under
// its key.
type claimResult struct {
	verdict claim.Verdict
	found   claim.Claim
	err     error
}

// abandonedClaim is a claim whose requester got an error although the store may have
// it. It must be freed, or it would block the caller's retry.
type abandonedClaim struct {
	claim claim.Claim
}

// ErrBusy is returned for a claim when the queue of claims is full.
var ErrBusy = errors.New("control: too many claims are waiting")

// Claim requests the exclusive right to send a request with an idempotency key.
// After an error the caller must not send the request, so that it certainly did
// not run under this claim.
func (n *Node) Claim(ctx context.Context, c claim.Claim) (claim.Verdict, claim.Claim, error) {
	j := queuedClaim{claim: c, reply: make(chan claimResult, 1)}
	if !n.claims.TryPut(j) {
		return claim.MayHaveRun, c, ErrBusy
	}
	select {
	case r := <-j.reply:
		return r.verdict, r.found, r.err
	case <-ctx.Done():
		n.abandons.TryPut(abandonedClaim{c})
		return claim.MayHaveRun, c, errors.Wrap(ctx.Err(), "control.Claim")
	}
}

func claimKey(c claim.Claim) string {
	return claimPrefix + c.Customer + "/" + c.Key
}

// grantClaims takes queued claims and writes them to the store in batches, until
// ctx ends.
func (n *Node) grantClaims(ctx context.Context) {
	for {
		j, err := n.claims.Take(ctx)
		if err != nil {
			return
		}
		n.sleep(ctx, claimBatchDelay)
		n.grantBatch(ctx, append([]queuedClaim{j}, n.claims.Drain(claimBatchSize-1)...))
	}
}

// grantBatch writes the claims to the store in one call and sends each its result.
func (n *Node) grantBatch(ctx context.Context, j []queuedClaim) {
	x, cancel := n.call(ctx)
	defer cancel()
	w := make([]store.Write, len(j))
	for i, y := range j {
		p, err := claimWrite(y.claim)
		if err != nil {
			n.failBatch(j, err)
			return
		}
		w[i] = p
	}
	p, err := n.Store.CreateAll(x, w)
	if errors.Is(err, store.ErrUnknown) {
		p, err = n.readBack(ctx, w)
	}
	if err != nil {
		n.failBatch(j, err)
		return
	}
	n.recordStoreSuccess()
	for i, y := range j {
		y.reply <- n.resolveClaim(ctx, y.claim, p[i])
	}
}

// recordStoreSuccess records a successful call to the store.
func (n *Node) recordStoreSuccess() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeOKAt = n.Clock()
}

// claimWrite returns the write of the claim, which expires with the claim.
func claimWrite(c claim.Claim) (store.Write, error) {
	b, err := codec.EncodeClaim(c)
	return store.Write{Key: claimKey(c), Value: b, Expires: c.Expires()}, err
}

// readBack reads the keys of writes whose response was lost. A key that is still
// absent grants nothing: the write may yet reach the store.
func (n *Node) readBack(ctx context.Context, w []store.Write) ([]store.Pair, error) {
	r := make([]store.Pair, len(w))
	for i, y := range w {
		x, cancel := n.call(ctx)
		p, err := n.Store.Get(x, y.Key)
		cancel()
		if err != nil {
			return nil, errors.Wrap(err, "control.readBack")
		}
		r[i] = p
	}
	return r, nil
}

// failBatch fails all claims of a batch with err and queues them to be freed, as
// the store may have some of them.
func (n *Node) failBatch(j []queuedClaim, err error) {
	n.log("claims_failed", "claims", len(j), "error", err)
	for _, y := range j {
		n.abandons.TryPut(abandonedClaim{y.claim})
		y.reply <- claimResult{verdict: claim.MayHaveRun, err: err}
	}
}

// resolveClaim returns the verdict on the claim from the pair that the store has
// under its key, and takes over an earlier claim that was freed.
func (n *Node) resolveClaim(ctx context.Context, c claim.Claim, p store.Pair) claimResult {
	if p.Version == 0 {
		n.abandons.TryPut(abandonedClaim{c})
		return claimResult{verdict: claim.MayHaveRun, err: errors.Wrapf(store.ErrUnknown, "claim %s is not in the store yet", claimKey(c))}
	}
	f, err := codec.DecodeClaim(p.Value)
	if err != nil {
		return claimResult{verdict: claim.MayHaveRun, err: err}
	}
	v := claim.Decide(f, c, n.Clock())
	if v == claim.Reclaimable {
		return n.takeOver(ctx, c, p)
	}
	return claimResult{verdict: v, found: f}
}

// takeOver replaces the freed claim in p by c, unless another instance did so
// first.
func (n *Node) takeOver(ctx context.Context, c claim.Claim, p store.Pair) claimResult {
	w, err := claimWrite(c)
	if err != nil {
		return claimResult{verdict: claim.MayHaveRun, err: err}
	}
	x, cancel := n.call(ctx)
	defer cancel()
	ok, err := n.Store.Commit(x, []store.Guard{{Key: p.Key, Version: p.Version}}, []store.Write{w})
	if err != nil {
		n.abandons.TryPut(abandonedClaim{c})
		return claimResult{verdict: claim.MayHaveRun, err: err}
	}
	if !ok {
		return claimResult{verdict: claim.MayHaveRun, found: c}
	}
	return claimResult{verdict: claim.Send, found: c}
}

// Finish records that the claimed request ran, or certainly did not run. It
// changes the stored claim only if c's nonce shows that it is the same claim.
func (n *Node) Finish(ctx context.Context, c claim.Claim) error {
	x, cancel := n.call(ctx)
	defer cancel()
	p, err := n.Store.Get(x, claimKey(c))
	if err != nil {
		return errors.Wrap(err, "control.Finish")
	}
	if p.Version == 0 {
		return errors.Newf("control.Finish: the store has no claim %s", claimKey(c))
	}
	f, err := codec.DecodeClaim(p.Value)
	if err != nil {
		return errors.Wrap(err, "control.Finish")
	}
	if f.Nonce != c.Nonce {
		return errors.Newf("control.Finish: claim %s is held under another nonce", claimKey(c))
	}
	w, err := claimWrite(c)
	if err != nil {
		return err
	}
	ok, err := n.Store.Commit(x, []store.Guard{{Key: p.Key, Version: p.Version}}, []store.Write{w})
	if err == nil && !ok {
		err = errors.Newf("claim %s was changed by a concurrent write", claimKey(c))
	}
	return errors.Wrap(err, "control.Finish")
}

// freeRetryDelay is the delay between attempts to free an abandoned claim.
const freeRetryDelay = 500 * time.Millisecond

// freeAbandoned frees claims whose requesters got an error, so that the caller's
// retry is not refused because of a request that was never sent. It retries
// until the claim's deadline.
func (n *Node) freeAbandoned(ctx context.Context) {
	for {
		a, err := n.abandons.Take(ctx)
		if err != nil {
			return
		}
		if n.tryFree(ctx, a.claim) || !n.Clock().Before(a.claim.Deadline) {
			continue
		}
		n.sleep(ctx, freeRetryDelay)
		n.abandons.TryPut(a)
	}
}

// tryFree makes one attempt to free the claim. It reports whether no further attempt
// is needed: the claim was freed, or the store has another claim or a finished one
// under the key. A key that is absent may still be written, and needs another
// attempt.
func (n *Node) tryFree(ctx context.Context, c claim.Claim) bool {
	x, cancel := n.call(ctx)
	defer cancel()
	p, err := n.Store.Get(x, claimKey(c))
	if err != nil || p.Version == 0 {
		return false
	}
	f, err := codec.DecodeClaim(p.Value)
	if err != nil || f.Nonce != c.Nonce || f.State != claim.Held {
		return true
	}
	return n.Finish(ctx, c.WithNotRun()) == nil
}
