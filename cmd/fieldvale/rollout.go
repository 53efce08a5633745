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
existing sessions keep their version. Answers are rated during the roll-out: if
the new version turns out bad, it gets no further work, is withdrawn, and the
roll-out ends as tripped. Any instance takes the next step when it is due.`

// rolloutCommands returns the subcommands of "rollout".
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
	if err := requireTeam(); err != nil {
		return err
	}
	steps, err := parseShares(c.Steps)
	if err != nil {
		return err
	}
	_, err = submitChange(&fieldvalev1.ChangeRequest{
		Id: idOrRandom(c.ID), Team: globalOptions.Team, Why: c.Why, Action: string(audit.StartRollout), FromVersion: c.Args.From,
		Version: c.Args.To, Shares: steps, EveryMillis: c.Every.Milliseconds(),
	})
	return err
}

// parseShares converts comma-separated percentages to parts of
// rollout.FullShare.
func parseShares(list string) ([]int32, error) {
	var parts []int32
	for _, share := range strings.Split(list, ",") {
		percent, err := strconv.ParseFloat(strings.TrimSpace(share), 64)
		if err != nil || percent <= 0 || percent > 100 {
			return nil, errors.Newf("--steps: %q is not a percentage above 0 and up to 100", share)
		}
		parts = append(parts, int32(percent*rollout.FullShare/100))
	}
	return parts, nil
}

// idOrRandom returns the change id that the operator gave, or a random one.
func idOrRandom(id string) string {
	if id == "" {
		return uuid.NewString()
	}
	return id
}

type rolloutHalt struct {
	versionChange
}

// Execute implements flags.Commander.
func (c *rolloutHalt) Execute([]string) error { return c.submit(audit.HaltRollout) }

type rolloutShow struct{}

// Execute implements flags.Commander.
func (c *rolloutShow) Execute([]string) error {
	if err := requireTeam(); err != nil {
		return err
	}
	current, err := getPolicy(globalOptions.Team, 0)
	if err != nil {
		return err
	}
	return printResult(current.Rollouts, func() {
		for _, r := range current.Rollouts {
			nextStep := ""
			if r.NextDue != "" {
				nextStep = ", next step due " + r.NextDue
			}
			fmt.Printf("%s -> %s: %s at %g%%, step %d of %d%s\n", r.From, r.To, r.State, float64(r.Share)*100/rollout.FullShare, r.Taken, r.Steps, nextStep)
		}
	})
}
