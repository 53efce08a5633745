package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"fieldvale/admission"
	"fieldvale/bill"
	"fieldvale/biller"
	"fieldvale/cascade"
	"fieldvale/config"
	"fieldvale/notice"
	"fieldvale/outcome"
	"fieldvale/policy"
	"fieldvale/pool"
	"fieldvale/quota"
	"fieldvale/rollout"
	"fieldvale/session"
	"fieldvale/timing"
	"fieldvale/version"
)

// maxAttempts bounds the attempts at one step.
const maxAttempts = 3

// ratingWorkers is how many duties rate answers behind the callers' backs.
const ratingWorkers = 4

// Router decides and carries out each request.
type Router struct {
	view     *CurrentView
	engines  Engines
	services Services
	claims   Claims
	rater    Rater
	biller   *biller.Biller
	clock    Clock
	self     string

	backends       *backends
	evidence       *evidence
	mu             sync.Mutex
	limiters       map[string]*admission.Limiter
	retryBudget    *admission.RetryBudget
	cascadeLearner *cascade.Learner
	hooks          *Hooks

	dataCentre string
	// regions are the data centres' regions.
	regions map[string]string

	upstream         Upstream
	activeForwards   *activeForwards
	prober           Prober
	quarantine       Quarantine
	placer           Placer
	prefillTimes     *timing.PrefillTimes
	slotTimes        *timing.SlotTimes
	confidenceGains  *confidenceGains
	answerSizes      *answerSizes
	firstEventDelays *timing.FirstEventDelays
	tokenTimes       *tokenTimes
	releases         *releases
	// retryWindows bound the repeats of opaque requests by service.
	retryWindows map[string]*admission.Window
	fleetSize    func() int
	retries      admission.Repeats
	quota        Quota
	notices      *notice.Tracker
	// coldBound is how many requests a cold replica may get.
	coldBound quota.ColdBound
	// acceptConfidence is a smaller model's opinion of its own answer, out of
	// 100, from which the answer is passed on.
	acceptConfidence float64
}

// Ports are what a router works through.
type Ports struct {
	View     *CurrentView
	Engines  Engines
	Services Services
	Claims   Claims
	Rater    Rater
	Biller   *biller.Biller
	Clock    Clock
	// Placer may be nil; then prompts are placed by this instance's own work.
	Placer Placer
	// Upstream sends opaque requests; Repeats bounds how often they go to
	// another replica.
	Upstream Upstream
	Retries  admission.Repeats
	// Quarantine and Prober may be nil; then nothing is known of contents that bring
	// replicas down.
	Quarantine Quarantine
	Prober     Prober
	// FleetSize is how many instances there are, 0 if that is not known; what
	// the fleet may repeat on top is shared by it. It may be nil.
	FleetSize func() int
	// Quota may be nil; then no replica is bounded.
	Quota Quota
	// Notices may be nil; then replicas say nothing of themselves.
	Notices *notice.Tracker
	// ColdBound is how many requests a cold replica may get from all instances.
	ColdBound quota.ColdBound
	// AcceptConfidence is a smaller model's opinion of its own answer, out of
	// 100, from which the answer is passed on.
	AcceptConfidence float64
	// Self is the instance's id.
	Self string
	// DataCentre is where this instance is; requests that share little with
	// others stay there where replicas are alike.
	DataCentre string
	// Regions are the data centres' regions by their names.
	Regions map[string]string
	// Rand seeds the choice of replicas.
	Rand rand.Source
	// Hooks may be nil.
	Hooks *Hooks
}

// NewRouter returns a router.
func NewRouter(p Ports) *Router {
	e := p.Hooks
	if e == nil {
		e = &Hooks{}
	}
	if p.Quota == nil {
		p.Quota = noQuota{}
	}
	return &Router{
		view: p.View, engines: p.Engines, services: p.Services, claims: p.Claims, rater: p.Rater,
		biller: p.Biller, clock: p.Clock, self: p.Self, dataCentre: p.DataCentre, regions: p.Regions,
		backends: newBackends(p.Rand, p.Notices), evidence: newEvidence(p.Rater),
		limiters: map[string]*admission.Limiter{}, retryBudget: admission.NewRetryBudget(),
		cascadeLearner: cascade.NewLearner(), hooks: e,
		upstream: p.Upstream, activeForwards: newActiveForwards(), quarantine: p.Quarantine, prober: p.Prober, placer: p.Placer, prefillTimes: timing.NewPrefillTimes(), slotTimes: timing.NewSlotTimes(), confidenceGains: newConfidenceGains(), answerSizes: newAnswerSizes(), firstEventDelays: timing.NewFirstEventDelays(), tokenTimes: newTokenTimes(),
		releases: newReleases(p.Clock()), retryWindows: map[string]*admission.Window{}, retries: p.Retries, fleetSize: p.FleetSize,
		acceptConfidence: p.AcceptConfidence, coldBound: p.ColdBound, quota: p.Quota, notices: p.Notices,
	}
}

// Run is the router's duties; it returns when ctx ends.
func (r *Router) Run(ctx context.Context) error {
	g, x := errgroup.WithContext(ctx)
	for range ratingWorkers {
		g.Go(func() error { return r.evidence.run(x) })
	}
	g.Go(func() error { return r.biller.Run(x) })
	return g.Wait()
}

// Evidence returns the counts of good and bad outcomes by version.
func (r *Router) Evidence() map[version.ID]rollout.Outcomes { return r.evidence.all() }

// InFlight returns this entry's requests by replica.
func (r *Router) InFlight() map[string]int { return r.backends.running() }

// ConcurrencyLimits returns the limits in force by version or service.
func (r *Router) ConcurrencyLimits() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[string]int{}
	for k, l := range r.limiters {
		m[k] = l.Limit()
	}
	return m
}

// plan returns the steps for a request: the policy's, or the one model that
// the caller names.
func (r *Router) plan(v *View, q Request) (policy.Plan, error) {
	if q.Model == AutoModel || q.Model == "" {
		p := v.Active.Decide(q.Caller, q.Task, q.Size)
		if len(p) == 0 {
			return nil, notRun(ModelNotAllowed, "the policy has no model for this request")
		}
		return r.withoutWastedStep(v, q, p), nil
	}
	m := q.Model
	if x, err := version.Parse(q.Model); err == nil {
		m = x.Model
	}
	for _, x := range v.Active.Models(q.Caller) {
		if x.Model == m {
			return policy.Plan{{Model: m}}, nil
		}
	}
	return nil, notRun(ModelNotFound, "model "+q.Model+" does not exist or may not be used")
}

// withoutWastedStep leaves out a cheap first step that ratings show to be wasted.
func (r *Router) withoutWastedStep(v *View, q Request, p policy.Plan) policy.Plan {
	if len(p) < 2 {
		return p
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cascadeLearner.Skip(learnerKey(q, p[0]), pricePerToken(v, q, p[0].Model), pricePerToken(v, q, p[1].Model)) {
		return p[1:]
	}
	return p
}

func learnerKey(q Request, s policy.Step) cascade.Key {
	return cascade.Key{Team: q.Caller.Team, Task: q.Task, Size: q.Size, Model: s.Model}
}

// pricePerToken is a model's price for the comparison of steps.
func pricePerToken(v *View, q Request, model string) float64 {
	x, ok := v.Active.Document().Part(q.Caller.Team).ActiveVersion(model)
	if !ok {
		return 0
	}
	c := v.Active.Cost(x)
	return float64(c.CostIn + c.CostOut)
}

// pickVersion returns the version for a step and the session that keeps it.
func (r *Router) pickVersion(v *View, q Request, s session.Session, model string) (version.ID, session.Session, bool, error) {
	if x, err := version.Parse(q.Model); err == nil {
		if !v.mayRun(q.Caller, x) {
			return x, s, false, notRun(ModelNotAllowed, "version "+q.Model+" may not be used")
		}
		return x, s, false, nil
	}
	x, ok := v.Active.Pick(q.Caller, model, s, v.IsTripped)
	if !ok {
		return x, s, false, notRun(ModelNotAllowed, "no version of "+model+" may be used")
	}
	o, had := s.Pin(model)
	return x, s.WithPin(x), had && o != x, nil
}

// limiter returns the bound of a version or service.
func (r *Router) limiter(name string) *admission.Limiter {
	l, ok := r.limiters[name]
	if !ok {
		l = admission.NewLimiter()
		r.limiters[name] = l
	}
	return l
}

func (r *Router) enterLimiter(name string, c config.Caller, p []*pool.Replica, deadline time.Time) *admission.Refusal {
	n := r.clock()
	w := r.backends.queuedPerSlot(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget.Request()
	return r.limiter(name).Admit(c.Customer.Name, c.Customer.Share, w, n, deadline)
}

func (r *Router) leaveLimiter(name string, c config.Caller, start, deadline time.Time, err error) {
	n := r.clock()
	t := 0.0
	if err == nil {
		t = n.Sub(start).Seconds()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter(name).Done(c.Customer.Name, t, n.After(deadline) || isOverload(err), n)
}

// isOverload reports whether the error is a backend server's word that it
// has too much to do.
func isOverload(err error) bool {
	o, ok := asOutcome(err)
	return ok && (o.Status == statusTooMany || errors.Is(o.Cause, context.DeadlineExceeded))
}

const statusTooMany = 429

func asOutcome(err error) (*outcome.Error, bool) {
	var o *outcome.Error
	ok := errors.As(err, &o)
	return o, ok
}

// takeRetry reports whether another attempt may be made after err.
func (r *Router) takeRetry(err error, once bool) bool {
	if !outcome.MayRepeat(err, once) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget.Retry()
}

// runOnVersion dispatches a step to replicas of the version until one answers.
// Whether the version may still run is asked anew before each dispatch. call
// makes one attempt.
func (r *Router) runOnVersion(ctx context.Context, q Request, x version.ID, call func(*pool.Replica) error) error {
	p := r.view.Get().byVersion[x]
	if len(p) == 0 {
		return r.noReplica(time.Time{})
	}
	if f := r.enterLimiter(x.String(), q.Caller, p, q.Deadline); f != nil {
		return refused(f)
	}
	start := r.clock()
	err := r.tryReplicas(ctx, q, x, call)
	r.leaveLimiter(x.String(), q.Caller, start, q.Deadline, err)
	return err
}

func (r *Router) tryReplicas(ctx context.Context, q Request, x version.ID, call func(*pool.Replica) error) error {
	var tried []string
	var last error
	var retryAt time.Time
	w := r.newQuarantineCheck(q.content())
	for range maxAttempts {
		v := r.view.Get()
		if ok := v.mayRun(q.Caller, x); !ok {
			return errors.CombineErrors(errWithdrawn, last)
		}
		if w.check(ctx) != nil {
			return lessCertain(last, w.refusal())
		}
		var b *pool.Replica
		if b, retryAt = r.takeReplica(ctx, x.String(), v.byVersion[x], pool.Request{AffinityKey: q.Session.ID}, tried, q.Priority); b == nil {
			w.cancelTrial()
			break
		}
		err := call(b)
		w.report(r.quarantineOutcomeOf(b, err), b.ID)
		r.backends.done(b.ID, err, r.clock())
		r.countVersionFailure(x, err)
		if err == nil {
			return nil
		}
		r.hooks.attemptFailed(FailedAttempt{Request: q.ID, Service: x.String(), Replica: b.ID, Err: err})
		tried, last = append(tried, b.ID), lessCertain(last, err)
		if ctx.Err() != nil || !r.takeRetry(err, false) {
			return last
		}
	}
	if last == nil {
		return r.noReplica(retryAt)
	}
	return last
}

// errWithdrawn says that the version was withdrawn while the request was on
// its way; another version is picked.
var errWithdrawn = errors.New("version was withdrawn")

// lessCertain keeps the error of which less is known, so that "not run" is told
// only if no attempt may have run.
func lessCertain(a, b error) error {
	if a != nil && outcome.Of(a) == outcome.Unknown {
		return a
	}
	return b
}

// countVersionFailure counts a failed attempt against the version if it may be its fault.
// Good answers are counted where they are rated.
func (r *Router) countVersionFailure(x version.ID, err error) {
	o, ok := asOutcome(err)
	if !ok || o.Kind == outcome.NotRun || errors.Is(o.Cause, errCallerGone) {
		return
	}
	if o.Step == stepAnswer {
		r.evidence.bad(x)
	}
}

// stepAnswer is the step of errors that the answer itself shows: a server
// error, a wrong or broken answer. A lost connection is the replica's fault,
// not the version's.
const stepAnswer = "answer"

// errCallerGone marks failures of the caller's side of a stream.
var errCallerGone = errors.New("the caller is gone")

// isRollingOut reports whether a roll-out to the version is under way, so that its
// answers must be rated.
func isRollingOut(v *View, c config.Caller, x version.ID) bool {
	o, ok := v.Active.Document().Part(c.Team).Rollout(x.Model)
	return ok && o.To == x && o.State == rollout.Running
}

// recordUnratedAnswer counts an answer that the policy does not rate.
func (r *Router) recordUnratedAnswer(v *View, q Request, c *cascadeRun, answer []byte) {
	switch {
	case c.slow:
		r.evidence.bad(c.version)
	case isRollingOut(v, q.Caller, c.version):
		r.evidence.queueRating(c.version, q.Body, answer)
	default:
		r.evidence.good(c.version)
	}
}

// recordRating counts an answer by its rating, and as bad whatever that is if it is slow.
func (r *Router) recordRating(c *cascadeRun, rating float64) {
	if c.slow {
		r.evidence.bad(c.version)
		return
	}
	r.evidence.rated(c.version, rating)
}

func (r *Router) bill(v *View, q Request, x version.ID, a bill.Amount) {
	a.Requests = 1
	r.biller.Bill(q.ID, bill.Line{Team: q.Caller.Team, Customer: q.Caller.Customer.Name, Version: x}, a)
}

// price is the amount of one step's answer.
func price(v *View, x version.ID, a Answer) bill.Amount {
	c := v.Active.Cost(x).Cost(int64(a.TokensIn), int64(a.TokensOut))
	return bill.Amount{TokensIn: a.TokensIn, TokensOut: a.TokensOut, Cost: uint64(c)}
}

func newAttempt(q Request, x version.ID) Attempt {
	return Attempt{ID: uuid.NewString(), Version: x, Body: q.Body, Deadline: q.Deadline, Priority: q.Priority}
}
