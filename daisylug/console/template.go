package console

var templates = resource{
	kind:   "template",
	plural: "templates",
	fields: []string{"name", "version", "class", "shape", "limit", "estimate", "idempotent"},
}

type templateCommand struct {
	List  templateList  `cmd:"" help:"List the templates."`
	Get   templateGet   `cmd:"" help:"Show a template."`
	Apply templateApply `cmd:"" help:"Create or change the templates of a file, in its order, up to the first failure."`
	Diff  templateDiff  `cmd:"" help:"Show, field by field, what apply would change."`
}

type templateList struct{}

// Run lists the templates.
func (templateList) Run(s *session) error { return templates.list(s) }

type templateGet struct{ nameFlags }

// Run shows one template.
func (c *templateGet) Run(s *session) error { return templates.get(s, c.Name) }

type templateApply struct{ applyFlags }

// Run creates or changes templates.
func (c *templateApply) Run(s *session) error { return templates.apply(s, c.applyFlags) }

type templateDiff struct{ diffFlags }

// Run shows what apply would change.
func (c *templateDiff) Run(s *session) error { return templates.diff(s, c.File) }
