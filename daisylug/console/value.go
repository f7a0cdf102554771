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

// UnmarshalText parses the URL and checks that it is a base URL.
func (s *server) UnmarshalText(text []byte) error {
	u, err := url.Parse(string(text))
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" {
		return &ValueError{Text: string(text), Want: "a base URL such as http://10.0.0.1:8080"}
	}
	s.base = strings.TrimRight(u.String(), "/")
	return nil
}

// ValueError reports an argument value that is not in the expected format.
type ValueError struct {
	Text string
	Want string
}

func (e *ValueError) Error() string { return fmt.Sprintf("%q is not %s", e.Text, e.Want) }

// ArgumentError reports flags or arguments that are missing, out of range or
// cannot be combined.
type ArgumentError struct {
	Reason string
}

func (e *ArgumentError) Error() string { return e.Reason }

// shapeFlag is a shape written as WORKERSxACCELERATORS.
type shapeFlag struct {
	Workers      int `json:"workers"`
	Accelerators int `json:"accelerators"`
}

// Decode parses the flag. UnmarshalText in its place would change the JSON
// decoding of the type as well.
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

// timeFlag is a time, given in RFC 3339 format or as a duration from now.
type timeFlag struct {
	time.Time
}

// Decode parses the flag.
func (m *timeFlag) Decode(ctx *kong.DecodeContext) error {
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

// readPayload returns the JSON that text holds, or that of the file if text is
// @FILE or of the standard input if it is -.
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
