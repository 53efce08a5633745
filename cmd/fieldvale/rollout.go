package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"fieldvale/audit"
	fieldvalev1 "fieldvale/gen/fieldvale/v1"
	"fieldvale/rollout"
)

const rolloutLong = `A roll-out gives a growing share of a model's new sessions to another version;
sessions keep the version that they have. Answers are rated on the way: if the
version turns bad it gets no more work at once, is withdrawn, and the roll-out
ends as tripped. Any instance takes the next step when it is due.`

func rolloutCommands() []command {
	return []command{
		{"start", "start a roll-out", rolloutLong, &rolloutStart{}},
		{"halt", "stop a roll-out; new sessions get the old version again", "", &rolloutHalt{}},
		{"show", "show the team's roll-outs", "", &rolloutShow{}},
	}
}

type rolloutStart struct {
	Why   string        `long:"why" required:"true" description:"reason, for the audit trail"`
	Steps string        `long:"steps" default:"1,10,50,100" description:"shares of new sessions in percent"`
	Every time.Duration `long:"every" default:"10m" description:"time between steps"`
	ID    string        `long:"id" description:"id of the change, to repeat it safely"`
	Args  struct {
		From string `positional-arg-name:"FROM" description:"MODEL@VERSION in use" required:"true"`
		To   string `positional-arg-name:"TO" description:"MODEL@VERSION to move to" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *rolloutStart) Execute([]string) error {
	if err := needTeam(); err != nil {
		return err
	}
	s, err := shares(c.Steps)
	if err != nil {
		return err
	}
	_, err = change(&fieldvalev1.ChangeRequest{
		Id: idOr(c.ID), Team: global.Team, Why: c.Why, Action: string(audit.StartRoll), FromVersion: c.Args.From,
		Version: c.Args.To, Shares: s, EveryMillis: c.Every.Milliseconds(),
	})
	return err
}

// shares reads percentages into parts of rollout.Whole.
func shares(t string) ([]int32, error) {
	var r []int32
	for _, x := range strings.Split(t, ",") {
		f, err := strconv.ParseFloat(strings.TrimSpace(x), 64)
		if err != nil || f <= 0 || f > 100 {
			return nil, errors.Newf("--steps: %q is not a share in percent", x)
		}
		r = append(r, int32(f*rollout.FullShare/100))
	}
	return r, nil
}

func idOr(id string) string {
	if id == "" {
		return uuid.NewString()
	}
	return id
}

type rolloutHalt struct {
	versionChange
}

// Execute implements flags.Commander.
func (c *rolloutHalt) Execute([]string) error { return c.change(audit.HaltRoll) }

type rolloutShow struct{}

// Execute implements flags.Commander.
func (c *rolloutShow) Execute([]string) error {
	if err := needTeam(); err != nil {
		return err
	}
	w, err := getPolicy(global.Team, 0)
	if err != nil {
		return err
	}
	return show(w.Rollouts, func() {
		for _, r := range w.Rollouts {
			n := ""
			if r.NextDue != "" {
				n = ", next step due " + r.NextDue
			}
			fmt.Printf("%s -> %s: %s at %g%%, step %d of %d%s\n", r.From, r.To, r.State, float64(r.Share)*100/rollout.FullShare, r.Taken, r.Steps, n)
		}
	})
}
