package console

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
)

// server is the base URL of an instance.
type server struct {
	base string
}

// UnmarshalText checks the URL.
func (s *server) UnmarshalText(text []byte) error {
	u, err := url.Parse(string(text))
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" {
		return &ValueError{Text: string(text), Want: "a base URL such as http://10.0.0.1:8080"}
	}
	s.base = strings.TrimRight(u.String(), "/")
	return nil
}

// ValueError reports an argument of the wrong form.
type ValueError struct {
	Text string
	Want string
}

func (e *ValueError) Error() string { return fmt.Sprintf("%q is not %s", e.Text, e.Want) }

// ArgumentError reports arguments that do not go together.
type ArgumentError struct {
	Reason string
}

func (e *ArgumentError) Error() string { return e.Reason }

// shapeFlag is a shape written as WORKERSxACCELERATORS.
type shapeFlag struct {
	Workers      int `json:"workers"`
	Accelerators int `json:"accelerators"`
}

// Decode reads the flag. UnmarshalText would change the JSON form as well.
func (f *shapeFlag) Decode(ctx *kong.DecodeContext) error {
	var text, rest string
	if err := ctx.Scan.PopValueInto("shape", &text); err != nil {
		return err
	}
	n, _ := fmt.Sscanf(text, "%dx%d%s", &f.Workers, &f.Accelerators, &rest)
	if n != 2 || f.Workers < 1 || f.Accelerators < 1 {
		return &ValueError{Text: text, Want: "a shape such as 2x8, for 2 workers with 8 accelerators each"}
	}
	return nil
}

// moment is a time, given as such or as a duration from now.
type moment struct {
	time.Time
}

// Decode reads the flag.
func (m *moment) Decode(ctx *kong.DecodeContext) error {
	var text string
	if err := ctx.Scan.PopValueInto("time", &text); err != nil {
		return err
	}
	at, err := time.Parse(time.RFC3339, text)
	if err == nil {
		m.Time = at
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return &ValueError{Text: text, Want: "a time such as 2026-01-31T05:00:00Z or a duration such as 2h"}
	}
	m.Time = time.Now().Add(d)
	return nil
}

var errPayload = errors.New("--payload: the content is not valid JSON")

// readPayload returns the JSON given as text, as @FILE or as - for the
// standard input.
func readPayload(text string, in io.Reader) (json.RawMessage, error) {
	if text == "" {
		return nil, nil
	}
	content, err := []byte(text), error(nil)
	if name, ok := strings.CutPrefix(text, "@"); ok {
		content, err = os.ReadFile(name)
	} else if text == "-" {
		content, err = io.ReadAll(in)
	}
	if err != nil {
		return nil, usageError(err)
	}
	if !json.Valid(content) {
		return nil, usageError(errPayload)
	}
	return content, nil
}
