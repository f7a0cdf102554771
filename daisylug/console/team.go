package console

var teams = resource{
	kind:   "team",
	plural: "teams",
	fields: []string{"name", "version", "templates", "priority", "weight", "prepaid", "guarantees"},
}

type teamCommand struct {
	List  teamList  `cmd:"" help:"List the teams."`
	Get   teamGet   `cmd:"" help:"Show a team."`
	Apply teamApply `cmd:"" help:"Create or change the teams of a file, in its order, up to the first failure."`
	Diff  teamDiff  `cmd:"" help:"Show, field by field, what apply would change."`
}

type teamList struct{}

// Run lists the teams.
func (teamList) Run(s *session) error { return teams.list(s) }

type teamGet struct{ nameFlags }

// Run shows one team.
func (c *teamGet) Run(s *session) error { return teams.get(s, c.Name) }

type teamApply struct{ applyFlags }

// Run creates or changes teams.
func (c *teamApply) Run(s *session) error { return teams.apply(s, c.applyFlags) }

type teamDiff struct{ diffFlags }

// Run shows what apply would change.
func (c *teamDiff) Run(s *session) error { return teams.diff(s, c.File) }
