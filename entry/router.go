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
	"fieldvale/answerbuffer"
	"fieldvale/biller"
	"fieldvale/budget"
	"fieldvale/cascade"
	"fieldvale/load"
	"fieldvale/notice"
	"fieldvale/outcome"
	"fieldvale/policy"
	"fieldvale/pool"
	"fieldvale/quarantine"
	"fieldvale/quota"
	"fieldvale/rollout"
	"fieldvale/session"
	"fieldvale/share"
	"fieldvale/timing"
	"fieldvale/version"
)

// maxAttempts bounds the attempts at one step of a plan, or at one service call.
const maxAttempts = 3

// ratingWorkers is the number of goroutines that rate answers after they were delivered.
const ratingWorkers = 4

// Router decides where each request goes, dispatches it and returns the answer.
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
	// regions maps each data centre to its region.
	regions map[string]string

	upstream         Upstream
	activeForwards   *activeForwards
	prober           Prober
	quarantine       quarantine.Checker
	placer           Placer
	prefillTimes     *timing.PrefillTimes
	slotTimes        *timing.SlotTimes
	outputTokens     *timing.OutputTokens
	confidenceGains  *cascade.Gains
	answerSizes      *answerSizes
	firstEventDelays *timing.FirstEventDelays
	tokenTimes       *timing.TokenTimes
	releases         *releases
	// retries bounds the retries of opaque requests.
	retries   *budget.Budget
	fleetSize func() int
	quota     Quota
	notices   *notice.Tracker
	// loads is described in Ports.
	loads *load.Tracker
	// coldBound is the fleet-wide bound on the requests to a cold replica.
	coldBound quota.ColdBound
	// acceptConfidence is the confidence, from 0 to 100, that a smaller model must report in its
	// own answer for the answer to be passed on.
	acceptConfidence float64
	// completionPause is described in Ports.
	completionPause time.Duration
	// finishDelays learns the ratio of the time to the complete answer to the owner's estimate, by
	// kind of request and model, in the same way as firstEventDelays for the first event.
	finishDelays *timing.FirstEventDelays
	// localShares decides on shares where no owner answers.
	localShares *share.Local
	// answerBuffers is described in Ports.
	answerBuffers *answerbuffer.Budget
}

// Ports are the dependencies and settings of a Router.
type Ports struct {
	View     *CurrentView
	Engines  Engines
	Services Services
	Claims   Claims
	Rater    Rater
	Biller   *biller.Biller
	Clock    Clock
	// Placer may be nil; prompts are then placed by this instance's own load figures.
	Placer Placer
	// Upstream sends opaque requests; Retries bounds how often they are sent to another replica.
	// Without Retries they are not.
	Upstream Upstream
	Retries  *budget.Budget
	// Quarantine and Prober may be nil; requests that crash replicas are then not detected.
	Quarantine quarantine.Checker
	Prober     Prober
	// FleetSize returns the number of instances, or 0 if it is unknown. It may be nil.
	FleetSize func() int
	// Quota may be nil; no replica is then limited.
	Quota Quota
	// Notices may be nil; drain and backoff notices of replicas are then ignored.
	Notices *notice.Tracker
	// Loads holds the load reports of replicas. It may be nil; choices then use none.
	Loads *load.Tracker
	// ColdBound is the bound on the requests to a cold replica from all instances.
	ColdBound quota.ColdBound
	// AcceptConfidence is the confidence, from 0 to 100, that a smaller model must report in its
	// own answer for the answer to be passed on.
	AcceptConfidence float64
	// CompletionPause is the pause between events from which a route's requests are placed by the
	// time until the whole answer is complete; 0 for none.
	CompletionPause time.Duration
	// AnswerBuffers is the memory for answers that clients have not read yet. It may be nil; an
	// answer is then read from the replica no faster than its client reads it.
	AnswerBuffers *answerbuffer.Budget
	// Self is this instance's id.
	Self string
	// DataCentre is the data centre of this instance. Among equivalent replicas, local ones are
	// preferred for requests that share little with others.
	DataCentre string
	// Regions maps each data centre to its region.
	Regions map[string]string
	// Rand seeds the choice of replicas.
	Rand rand.Source
	// Hooks may be nil.
	Hooks *Hooks
}

func NewRouter(p Ports) *Router {
	e := p.Hooks
	if e == nil {
		e = &Hooks{}
	}
	if p.Retries == nil {
		p.Retries = budget.New(budget.Config{Clock: p.Clock})
	}
	if p.Quota == nil {
		p.Quota = noQuota{}
	}
	b := newBackends(p.Rand, p.Notices)
	b.loads = p.Loads
	p.Loads.CountOwn(b.countAt)
	return &Router{
		view: p.View, engines: p.Engines, services: p.Services, claims: p.Claims, rater: p.Rater,
		biller: p.Biller, clock: p.Clock, self: p.Self, dataCentre: p.DataCentre, regions: p.Regions,
		backends: b, evidence: newEvidence(p.Rater),
		limiters: map[string]*admission.Limiter{}, retryBudget: admission.NewRetryBudget(),
		cascadeLearner: cascade.NewLearner(), hooks: e,
		upstream: p.Upstream, activeForwards: newActiveForwards(), quarantine: p.Quarantine, prober: p.Prober, placer: p.Placer, prefillTimes: timing.NewPrefillTimes(), slotTimes: timing.NewSlotTimes(), outputTokens: timing.NewOutputTokens(), confidenceGains: cascade.NewGains(), answerSizes: newAnswerSizes(), firstEventDelays: timing.NewFirstEventDelays(), tokenTimes: timing.NewTokenTimes(),
		releases: newReleases(p.Clock()), retries: p.Retries, fleetSize: p.FleetSize,
		acceptConfidence: p.AcceptConfidence, completionPause: p.CompletionPause, answerBuffers: p.AnswerBuffers, coldBound: p.ColdBound, quota: p.Quota, notices: p.Notices, loads: p.Loads,
		localShares: share.NewLocal(), finishDelays: timing.NewFirstEventDelays(),
	}
}

// Run rates and bills answers in the background until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	g, x := errgroup.WithContext(ctx)
	for range ratingWorkers {
		g.Go(func() error { return r.evidence.run(x) })
	}
	g.Go(func() error { return r.biller.Run(x) })
	return g.Wait()
}

// Evidence returns the counts of good and bad answers by version.
func (r *Router) Evidence() map[version.ID]rollout.Outcomes { return r.evidence.all() }

// InFlight returns the number of this instance's requests in flight by replica.
func (r *Router) InFlight() map[string]int { return r.backends.running() }

// ConcurrencyLimits returns the current concurrency limits by version or service.
func (r *Router) ConcurrencyLimits() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[string]int{}
	for k, l := range r.limiters {
		m[k] = l.Limit()
	}
	return m
}

// plan returns the steps for a request: those of the policy, or a single step with the model that
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

// withoutWastedStep drops the cheap first step where past ratings show that its answers are
// rejected too often to save money.
func (r *Router) withoutWastedStep(v *View, q Request, p policy.Plan) policy.Plan {
	if len(p) < 2 {
		return p
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cascadeLearner.ShouldSkip(learnerKey(q, p[0]), pricePerToken(v, q, p[0].Model), pricePerToken(v, q, p[1].Model)) {
		return p[1:]
	}
	return p
}

func learnerKey(q Request, s policy.Step) cascade.StepKey {
	return cascade.StepKey{Team: q.Caller.Team, Task: q.Task, Size: q.Size, Model: s.Model}
}

// pricePerToken is the price by which the steps' models are compared.
func pricePerToken(v *View, q Request, model string) float64 {
	x, ok := v.Active.Document().Part(q.Caller.Team).ActiveVersion(model)
	if !ok {
		return 0
	}
	c := v.Active.Declaration(x)
	return float64(c.CostIn + c.CostOut)
}

// pickVersion returns the version for a step, the session pinned to it, and whether that moved
// the session from another version.
func (r *Router) pickVersion(v *View, q Request, s session.Session, model string) (version.ID, session.Session, bool, error) {
	if x, err := version.Parse(q.Model); err == nil {
		if !v.mayRun(q.Caller, x) {
			return x, s, false, notRun(ModelNotAllowed, "version "+q.Model+" may not be used")
		}
		return x, s, false, nil
	}
	x, ok := v.Active.PickVersion(q.Caller, model, s, v.IsTripped)
	if !ok {
		return x, s, false, notRun(ModelNotAllowed, "no version of "+model+" may be used")
	}
	o, had := s.Pin(model)
	return x, s.WithPin(x), had && o != x, nil
}

// takeRetry takes a retry from the budget if the request may be sent again after err.
func (r *Router) takeRetry(err error, once bool) bool {
	if !outcome.MayRetry(err, once) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget.TakeRetry()
}

// runOnVersion dispatches a step to replicas of the version until one answers. call makes one
// attempt. Whether the version may still run is checked again before each dispatch.
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
	g := r.newGuard(q.content())
	for range maxAttempts {
		v := r.view.Get()
		if ok := v.mayRun(q.Caller, x); !ok {
			return errors.CombineErrors(errWithdrawn, last)
		}
		if g.Check(ctx) != nil {
			return lessCertain(last, quarantined(&g))
		}
		var b *pool.Replica
		if b, retryAt = r.takeReplica(ctx, x.String(), v.byVersion[x], pool.Request{AffinityKey: q.Session.ID}, tried, q.Priority); b == nil {
			g.CancelTrial()
			break
		}
		err := call(b)
		g.Report(quarantine.RequestResult{Outcome: r.quarantineOutcomeOf(b, err), Replica: b.ID})
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

// errWithdrawn reports that the version was withdrawn while the request was under way, so that
// another version is picked.
var errWithdrawn = errors.New("version was withdrawn")

// lessCertain keeps the error whose outcome is less certain, so that the caller gets "not run"
// only if no attempt may have run.
func lessCertain(a, b error) error {
	if a != nil && outcome.KindOf(a) == outcome.Unknown {
		return a
	}
	return b
}

// countVersionFailure counts a failed attempt against the version if the version may have caused
// it. Successful answers are counted where they are rated.
func (r *Router) countVersionFailure(x version.ID, err error) {
	o, ok := asOutcome(err)
	if !ok || o.Kind == outcome.NotRun || errors.Is(o.Cause, errCallerGone) {
		return
	}
	if o.Step == stepAnswer {
		r.evidence.bad(x)
	}
}

// stepAnswer is the step of errors in the answer itself: a server error, or a wrong or malformed
// answer. These are attributed to the version, a lost connection to the replica.
const stepAnswer = "answer"

// errCallerGone marks failures on the caller's side of a stream.
var errCallerGone = errors.New("the caller disconnected")

func newAttempt(q Request, x version.ID) Attempt {
	return Attempt{ID: uuid.NewString(), Version: x, Body: q.Body, Deadline: q.Deadline, Priority: q.Priority}
}
