package dispatch

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// SettingError reports an invalid setting.
type SettingError struct {
	Flag   string
	Reason string
}

func (e *SettingError) Error() string {
	return "--" + e.Flag + ": " + e.Reason
}

// SettingsError reports all invalid settings.
type SettingsError struct {
	Errors []*SettingError
}

func (e *SettingsError) Error() string {
	lines := make([]string, len(e.Errors))
	for i, settingErr := range e.Errors {
		lines[i] = settingErr.Error()
	}
	return strings.Join(lines, "\n")
}

// checker converts settings and collects their errors.
type checker struct {
	errors []*SettingError
}

func (c *checker) fail(flag, format string, args ...any) {
	c.errors = append(c.errors, &SettingError{Flag: flag, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) err() error {
	if len(c.errors) == 0 {
		return nil
	}
	return &SettingsError{Errors: c.errors}
}

// hasValue reports whether value is set, and records an error if a required
// value is not.
func (c *checker) hasValue(flag, value string, required bool) bool {
	if value == "" && required {
		c.fail(flag, "is required")
	}
	return value != ""
}

func (c *checker) name(flag, value string, required bool) string {
	if c.hasValue(flag, value, required) && !namePattern.MatchString(value) {
		c.fail(flag, "%q is not a name of 1 to 63 lower-case letters, digits and hyphens", value)
	}
	return value
}

func (c *checker) address(flag, value string, required bool) string {
	if c.hasValue(flag, value, required) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			c.fail(flag, "%q is not IP:port", value)
		}
	}
	return value
}

func (c *checker) url(flag, value string, required bool) string {
	if !c.hasValue(flag, value, required) {
		return value
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		c.fail(flag, "%q is not an http URL", value)
	}
	return value
}

func (c *checker) duration(flag, value string, lower, upper time.Duration) time.Duration {
	if !c.hasValue(flag, value, true) {
		return 0
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		c.fail(flag, "%q is not a duration such as 2s or 1m30s", value)
		return 0
	}
	if d < lower || d > upper {
		c.fail(flag, "%v is not between %v and %v", d, lower, upper)
	}
	return d
}

func (c *checker) count(flag, value string, lower, upper int) int {
	if !c.hasValue(flag, value, true) {
		return 0
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		c.fail(flag, "%q is not a whole number", value)
		return 0
	}
	if n < lower || n > upper {
		c.fail(flag, "%d is not between %d and %d", n, lower, upper)
	}
	return n
}

func (c *checker) choice(flag, value string, required bool, choices ...string) string {
	if c.hasValue(flag, value, required) && !slices.Contains(choices, value) {
		c.fail(flag, "%q is not one of %s", value, strings.Join(choices, ", "))
	}
	return value
}
