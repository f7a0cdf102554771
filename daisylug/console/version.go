package console

// Version is the version of the daisylug command.
const Version = "0.1.0-dev"

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(s *session) error {
	answer := struct {
		Version string `json:"version"`
	}{Version}
	return s.printer.print(answer, func(t *table) { t.row("daisylug " + Version) })
}
