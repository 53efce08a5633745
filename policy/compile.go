package policy

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"

	"fieldvale/catalog"
	"fieldvale/version"
)

// maxSteps bounds the Starlark steps of loading a program and of each call
// of its functions. A program that needs more is refused by check and accept.
const maxSteps = 100_000

// maxPlan is the largest number of steps in a plan.
const maxPlan = 4

const programName = "policy.star"

// Compile runs the program over everything that the catalogue declares. The
// errors name the call that failed; all faults found are returned.
func Compile(s Source) (*Table, []error) {
	if e := s.Catalog.Validate(); len(e) > 0 {
		return nil, e
	}
	p, err := load(s.Program)
	if err != nil {
		return nil, []error{err}
	}
	t := &Table{catalog: s.Catalog, allow: map[grant]bool{}, plans: map[question]Plan{}}
	e := p.fillAllow(t)
	e = append(e, p.fillPlans(t)...)
	if len(e) > 0 {
		return nil, e
	}
	return t, nil
}

// program is a loaded policy program with its two functions.
type program struct {
	allow starlark.Value
	route starlark.Value
}

func load(text string) (*program, error) {
	o := &syntax.FileOptions{}
	h := newThread("load")
	g, err := starlark.ExecFileOptions(o, h, programName, text, builtins())
	if err != nil {
		return nil, errors.Wrap(err, "policy.Compile")
	}
	p := &program{allow: g["allow"], route: g["route"]}
	if _, ok := p.allow.(starlark.Callable); !ok {
		return nil, errors.Newf("policy.Compile: %s defines no function allow(customer, model, version)", programName)
	}
	if _, ok := p.route.(starlark.Callable); !ok {
		return nil, errors.Newf("policy.Compile: %s defines no function route(customer, task, size)", programName)
	}
	return p, nil
}

func newThread(name string) *starlark.Thread {
	h := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	h.SetMaxExecutionSteps(maxSteps)
	return h
}

func builtins() starlark.StringDict {
	return starlark.StringDict{"step": starlark.NewBuiltin("step", newStep)}
}

// newStep is the program's step(model, accept=0).
func newStep(_ *starlark.Thread, b *starlark.Builtin, a starlark.Tuple, k []starlark.Tuple) (starlark.Value, error) {
	var m string
	var x starlark.Value = starlark.Float(0)
	if err := starlark.UnpackArgs(b.Name(), a, k, "model", &m, "accept?", &x); err != nil {
		return nil, err
	}
	f, ok := starlark.AsFloat(x)
	if !ok || f < 0 || f > 1 {
		return nil, errors.Newf("step(%q): accept %s is not between 0 and 1", m, x)
	}
	return starlarkstruct.FromStringDict(starlark.String("step"), starlark.StringDict{"model": starlark.String(m), "accept": starlark.Float(f)}), nil
}

func customerValue(c catalog.Customer) starlark.Value {
	return starlarkstruct.FromStringDict(starlark.String("customer"), starlark.StringDict{"name": starlark.String(c.Name), "tier": starlark.String(c.Tier)})
}

func (p *program) fillAllow(t *Table) []error {
	var e []error
	for _, c := range t.catalog.Customers {
		for _, v := range t.catalog.Versions {
			ok, err := p.callAllow(c, v.ID)
			if err != nil {
				e = append(e, err)
				continue
			}
			t.allow[grant{c.Name, v.ID}] = ok
		}
	}
	return e
}

func (p *program) callAllow(c catalog.Customer, v version.ID) (bool, error) {
	r, err := starlark.Call(newThread("allow"), p.allow, starlark.Tuple{customerValue(c), starlark.String(v.Model), starlark.String(v.Name)}, nil)
	if err != nil {
		return false, errors.Wrapf(err, "allow(%s, %s, %s)", c.Name, v.Model, v.Name)
	}
	b, ok := r.(starlark.Bool)
	if !ok {
		return false, errors.Newf("allow(%s, %s, %s) gave %s, want True or False", c.Name, v.Model, v.Name, r)
	}
	return bool(b), nil
}

func (p *program) fillPlans(t *Table) []error {
	var e []error
	for _, c := range t.catalog.Customers {
		for _, k := range taskNames(t.catalog) {
			for _, z := range Sizes() {
				s, err := p.callRoute(t, c, k, z)
				if err != nil {
					e = append(e, err)
					continue
				}
				t.plans[question{c.Name, k, z}] = s
			}
		}
	}
	return e
}

func taskNames(c catalog.Catalog) []string {
	r := []string{catalog.DefaultTask}
	for _, t := range c.Tasks {
		if t.Name != catalog.DefaultTask {
			r = append(r, t.Name)
		}
	}
	return r
}

func (p *program) callRoute(t *Table, c catalog.Customer, task string, z Size) (Plan, error) {
	q := question{c.Name, task, z}
	r, err := starlark.Call(newThread("route"), p.route, starlark.Tuple{customerValue(c), starlark.String(task), starlark.String(z.String())}, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "route(%s)", q)
	}
	s, err := readPlan(r)
	if err != nil {
		return nil, errors.Wrapf(err, "route(%s)", q)
	}
	return s, errors.Wrapf(t.checkPlan(c.Name, s), "route(%s)", q)
}

func readPlan(v starlark.Value) (Plan, error) {
	l, ok := v.(starlark.Sequence)
	if !ok {
		return nil, errors.Newf("gave %s, want a list of step(model, accept=0)", v)
	}
	if l.Len() > maxPlan {
		return nil, errors.Newf("gave %d steps, at most %d are allowed", l.Len(), maxPlan)
	}
	var p Plan
	i := l.Iterate()
	defer i.Done()
	var x starlark.Value
	for i.Next(&x) {
		s, err := readStep(x)
		if err != nil {
			return nil, err
		}
		p = append(p, s)
	}
	return p, nil
}

func readStep(v starlark.Value) (Step, error) {
	s, ok := v.(*starlarkstruct.Struct)
	if !ok || s.Constructor() != starlark.String("step") {
		return Step{}, errors.Newf("holds %s, want step(model, accept=0)", v)
	}
	m, err := s.Attr("model")
	if err != nil {
		return Step{}, err
	}
	a, err := s.Attr("accept")
	if err != nil {
		return Step{}, err
	}
	n, _ := starlark.AsString(m)
	f, _ := starlark.AsFloat(a)
	return Step{Model: n, Accept: f}, nil
}

// checkPlan refuses a plan that names a model without a version that the
// customer may use, or whose last step may reject its own answer.
func (t *Table) checkPlan(customer string, p Plan) error {
	for _, s := range p {
		if !t.allowsSome(customer, s.Model) {
			return errors.Newf("names model %q, of which %s is allowed no version", s.Model, customer)
		}
	}
	if n := len(p); n > 0 && p[n-1].Accept != 0 {
		return errors.Newf("ends with accept=%g, but no step is left to try", p[n-1].Accept)
	}
	return nil
}

func (t *Table) allowsSome(customer, model string) bool {
	for _, v := range t.catalog.Versions {
		if v.ID.Model == model && t.Allows(customer, v.ID) {
			return true
		}
	}
	return false
}

// String returns the step as test cases state it: "MODEL" or "MODEL accept X".
func (s Step) String() string {
	if s.Accept == 0 {
		return s.Model
	}
	return s.Model + " accept " + strconv.FormatFloat(s.Accept, 'g', -1, 64)
}
