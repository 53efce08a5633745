package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fieldvale/adapter/codec"
	"fieldvale/claim"
	"fieldvale/store"
)

// claimsAtOnce is how many claims one call of the store carries.
const claimsAtOnce = 48

// claimsWaiting and claimWait gather claims into a call.
const claimWait = 2 * time.Millisecond

// claimJob is a claim on its way to the store.
type claimJob struct {
	claim claim.Claim
	reply chan claimReply
}

type claimReply struct {
	verdict claim.Verdict
	found   claim.Claim
	err     error
}

// abandoned is a claim of which it is not known whether it was made, by an
// asker that was refused: it must not stand in the way of a later try.
type abandoned struct {
	claim claim.Claim
}

// ErrBusy refuses a claim because too many wait already.
var ErrBusy = errors.New("control: too many claims are waiting")

// Claim asks for the right to send. After an error the asker must not send,
// and the request surely did not run under this claim.
func (n *Node) Claim(ctx context.Context, c claim.Claim) (claim.Verdict, claim.Claim, error) {
	j := claimJob{claim: c, reply: make(chan claimReply, 1)}
	if !n.claims.Offer(j) {
		return claim.MayHaveRun, c, ErrBusy
	}
	select {
	case r := <-j.reply:
		return r.verdict, r.found, r.err
	case <-ctx.Done():
		n.abandons.Offer(abandoned{c})
		return claim.MayHaveRun, c, errors.Wrap(ctx.Err(), "control.Claim")
	}
}

func claimKey(c claim.Claim) string {
	return claimPrefix + c.Customer + "/" + c.Key
}

// grantClaims writes claims, many in one call.
func (n *Node) grantClaims(ctx context.Context) {
	for {
		j, err := n.claims.Take(ctx)
		if err != nil {
			return
		}
		n.pause(ctx, claimWait)
		n.grant(ctx, append([]claimJob{j}, n.claims.Drain(claimsAtOnce-1)...))
	}
}

func (n *Node) grant(ctx context.Context, j []claimJob) {
	x, cancel := n.call(ctx)
	defer cancel()
	w := make([]store.Write, len(j))
	for i, y := range j {
		p, err := claimWrite(y.claim)
		if err != nil {
			n.answerAll(j, err)
			return
		}
		w[i] = p
	}
	p, err := n.Store.CreateAll(x, w)
	if errors.Is(err, store.ErrUnknown) {
		p, err = n.readBack(ctx, w)
	}
	if err != nil {
		n.answerAll(j, err)
		return
	}
	n.sawStoreNow()
	for i, y := range j {
		y.reply <- n.judge(ctx, y.claim, p[i])
	}
}

func (n *Node) sawStoreNow() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeOKAt = n.Clock()
}

func claimWrite(c claim.Claim) (store.Write, error) {
	b, err := codec.EncodeClaim(c)
	return store.Write{Key: claimKey(c), Value: b, Expires: c.Expires()}, err
}

// readBack finds out what became of writes whose answer was lost. A key that
// is still absent gives no right: the write may yet arrive.
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

func (n *Node) answerAll(j []claimJob, err error) {
	n.log("claims_failed", "claims", len(j), "error", err)
	for _, y := range j {
		n.abandons.Offer(abandoned{y.claim})
		y.reply <- claimReply{verdict: claim.MayHaveRun, err: err}
	}
}

// judge decides on what was found, and takes over a claim that was freed.
func (n *Node) judge(ctx context.Context, c claim.Claim, p store.Pair) claimReply {
	if p.Version == 0 {
		n.abandons.Offer(abandoned{c})
		return claimReply{verdict: claim.MayHaveRun, err: errors.Wrap(store.ErrUnknown, "the claim is not there yet")}
	}
	f, err := codec.DecodeClaim(p.Value)
	if err != nil {
		return claimReply{verdict: claim.MayHaveRun, err: err}
	}
	v := claim.Judge(f, c, n.Clock())
	if v == claim.Takeable {
		return n.takeOver(ctx, c, p)
	}
	return claimReply{verdict: v, found: f}
}

func (n *Node) takeOver(ctx context.Context, c claim.Claim, p store.Pair) claimReply {
	w, err := claimWrite(c)
	if err != nil {
		return claimReply{verdict: claim.MayHaveRun, err: err}
	}
	x, cancel := n.call(ctx)
	defer cancel()
	ok, err := n.Store.Commit(x, []store.Guard{{Key: p.Key, Version: p.Version}}, []store.Write{w})
	if err != nil {
		n.abandons.Offer(abandoned{c})
		return claimReply{verdict: claim.MayHaveRun, err: err}
	}
	if !ok {
		return claimReply{verdict: claim.MayHaveRun, found: c}
	}
	return claimReply{verdict: claim.Send, found: c}
}

// Finish records that the claimed request ran or surely did not. Only the
// holder's own record is changed.
func (n *Node) Finish(ctx context.Context, c claim.Claim) error {
	x, cancel := n.call(ctx)
	defer cancel()
	p, err := n.Store.Get(x, claimKey(c))
	if err != nil {
		return errors.Wrap(err, "control.Finish")
	}
	if p.Version == 0 {
		return errors.Newf("control.Finish: no claim %s", claimKey(c))
	}
	f, err := codec.DecodeClaim(p.Value)
	if err != nil {
		return errors.Wrap(err, "control.Finish")
	}
	if f.Nonce != c.Nonce {
		return errors.Newf("control.Finish: claim %s is not the holder's", claimKey(c))
	}
	w, err := claimWrite(c)
	if err != nil {
		return err
	}
	ok, err := n.Store.Commit(x, []store.Guard{{Key: p.Key, Version: p.Version}}, []store.Write{w})
	if err == nil && !ok {
		err = errors.New("changed under way")
	}
	return errors.Wrap(err, "control.Finish")
}

// freePause is between tries to free an abandoned claim.
const freePause = 500 * time.Millisecond

// freeAbandoned frees claims whose askers were refused, so that the caller's
// next try is not told "may have run" of a request that never was.
func (n *Node) freeAbandoned(ctx context.Context) {
	for {
		a, err := n.abandons.Take(ctx)
		if err != nil {
			return
		}
		if n.free(ctx, a.claim) || !n.Clock().Before(a.claim.Deadline) {
			continue
		}
		n.pause(ctx, freePause)
		n.abandons.Offer(a)
	}
}

// free reports whether the claim is free or is known never to have been made.
func (n *Node) free(ctx context.Context, c claim.Claim) bool {
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
	return n.Finish(ctx, c.WithFree()) == nil
}
