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

// maxExecutionSteps bounds the Starlark execution steps for loading a program and
// for each call of its functions. The check and accept commands reject a program
// that needs more.
const maxExecutionSteps = 100_000

// maxPlanSteps is the largest number of cascade steps in a plan.
const maxPlanSteps = 4

const programName = "policy.star"

// Compile evaluates the program for every combination of inputs that the
// catalogue declares. It returns all errors found; each names the call that failed.
func Compile(s Source) (*Table, []error) {
	if e := s.Catalog.Validate(); len(e) > 0 {
		return nil, e
	}
	p, err := loadProgram(s.Program)
	if err != nil {
		return nil, []error{err}
	}
	t := &Table{catalog: s.Catalog, allow: map[permissionKey]bool{}, plans: map[decisionKey]Plan{}}
	e := p.compilePermissions(t)
	e = append(e, p.compilePlans(t)...)
	if len(e) > 0 {
		return nil, e
	}
	return t, nil
}

// program holds the two functions of a loaded policy program.
type program struct {
	allow starlark.Value
	route starlark.Value
}

func loadProgram(text string) (*program, error) {
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
	h.SetMaxExecutionSteps(maxExecutionSteps)
	return h
}

func builtins() starlark.StringDict {
	return starlark.StringDict{"step": starlark.NewBuiltin("step", callStep)}
}

// callStep implements the built-in function step(model, accept=0).
func callStep(_ *starlark.Thread, b *starlark.Builtin, a starlark.Tuple, k []starlark.Tuple) (starlark.Value, error) {
	var m string
	var x starlark.Value = starlark.Float(0)
	if err := starlark.UnpackArgs(b.Name(), a, k, "model", &m, "accept?", &x); err != nil {
		return nil, err
	}
	f, ok := starlark.AsFloat(x)
	if !ok || f < 0 || f > 1 {
		return nil, errors.Newf("step(%q): accept is %s, want a number between 0 and 1", m, x)
	}
	return starlarkstruct.FromStringDict(starlark.String("step"), starlark.StringDict{"model": starlark.String(m), "accept": starlark.Float(f)}), nil
}

func customerValue(c catalog.Customer) starlark.Value {
	return starlarkstruct.FromStringDict(starlark.String("customer"), starlark.StringDict{"name": starlark.String(c.Name), "tier": starlark.String(c.Tier)})
}

func (p *program) compilePermissions(t *Table) []error {
	var e []error
	for _, c := range t.catalog.Customers {
		for _, v := range t.catalog.Versions {
			ok, err := p.callAllow(c, v.ID)
			if err != nil {
				e = append(e, err)
				continue
			}
			t.allow[permissionKey{c.Name, v.ID}] = ok
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
		return false, errors.Newf("allow(%s, %s, %s) returned %s, want True or False", c.Name, v.Model, v.Name, r)
	}
	return bool(b), nil
}

func (p *program) compilePlans(t *Table) []error {
	var e []error
	for _, c := range t.catalog.Customers {
		for _, k := range taskNames(t.catalog) {
			for _, z := range Sizes() {
				s, err := p.callRoute(t, c, k, z)
				if err != nil {
					e = append(e, err)
					continue
				}
				t.plans[decisionKey{c.Name, k, z}] = s
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
	q := decisionKey{c.Name, task, z}
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
		return nil, errors.Newf("returned %s, want a list of step(model, accept=0)", v)
	}
	if l.Len() > maxPlanSteps {
		return nil, errors.Newf("returned a plan of %d steps, want at most %d", l.Len(), maxPlanSteps)
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
		return Step{}, errors.Newf("plan contains %s, want step(model, accept=0)", v)
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

// checkPlan returns an error if the plan names a model of which the customer may
// use no version, or if its last step sets a threshold for accepting the answer.
func (t *Table) checkPlan(customer string, p Plan) error {
	for _, s := range p {
		if !t.allowsAnyVersion(customer, s.Model) {
			return errors.Newf("plan names model %q, but customer %s is allowed none of its versions", s.Model, customer)
		}
	}
	if n := len(p); n > 0 && p[n-1].Accept != 0 {
		return errors.Newf("last step of the plan has accept=%g, want 0 because no further step follows", p[n-1].Accept)
	}
	return nil
}

func (t *Table) allowsAnyVersion(customer, model string) bool {
	for _, v := range t.catalog.Versions {
		if v.ID.Model == model && t.Allows(customer, v.ID) {
			return true
		}
	}
	return false
}

// String returns the step in the notation of test cases: "MODEL" or
// "MODEL accept X".
func (s Step) String() string {
	if s.Accept == 0 {
		return s.Model
	}
	return s.Model + " accept " + strconv.FormatFloat(s.Accept, 'g', -1, 64)
}
