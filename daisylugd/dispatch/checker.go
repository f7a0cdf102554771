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

// SettingError reports one wrong setting.
type SettingError struct {
	Flag   string
	Reason string
}

func (e *SettingError) Error() string {
	return "--" + e.Flag + ": " + e.Reason
}

// SettingsError reports every wrong setting.
type SettingsError struct {
	Errors []*SettingError
}

func (e *SettingsError) Error() string {
	lines := make([]string, len(e.Errors))
	for i, one := range e.Errors {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// checker converts settings and collects what is wrong with them.
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

// given reports whether there is a value to check.
func (c *checker) given(flag, value string, required bool) bool {
	if value == "" && required {
		c.fail(flag, "is required")
	}
	return value != ""
}

func (c *checker) name(flag, value string, required bool) string {
	if c.given(flag, value, required) && !namePattern.MatchString(value) {
		c.fail(flag, "%q is not a name of 1 to 63 lower-case letters, digits and hyphens", value)
	}
	return value
}

func (c *checker) address(flag, value string, required bool) string {
	if c.given(flag, value, required) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			c.fail(flag, "%q is not IP:port", value)
		}
	}
	return value
}

func (c *checker) url(flag, value string, required bool) string {
	if !c.given(flag, value, required) {
		return value
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		c.fail(flag, "%q is not an http URL", value)
	}
	return value
}

func (c *checker) duration(flag, value string, least, most time.Duration) time.Duration {
	if !c.given(flag, value, true) {
		return 0
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		c.fail(flag, "%q is not a duration such as 2s or 1m30s", value)
		return 0
	}
	if d < least || d > most {
		c.fail(flag, "%v is not between %v and %v", d, least, most)
	}
	return d
}

func (c *checker) count(flag, value string, least, most int) int {
	if !c.given(flag, value, true) {
		return 0
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		c.fail(flag, "%q is not a whole number", value)
		return 0
	}
	if n < least || n > most {
		c.fail(flag, "%d is not between %d and %d", n, least, most)
	}
	return n
}

func (c *checker) choice(flag, value string, required bool, choices ...string) string {
	if c.given(flag, value, required) && !slices.Contains(choices, value) {
		c.fail(flag, "%q is not one of %s", value, strings.Join(choices, ", "))
	}
	return value
}
