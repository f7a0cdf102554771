package console

import (
	"fmt"
	"net/url"
	"strings"
)

// server is the base URL of an instance.
type server struct {
	base string
}

// ServerURLError reports a base URL that cannot be used.
type ServerURLError struct {
	Text string
}

func (e *ServerURLError) Error() string {
	return fmt.Sprintf("%q is not a base URL such as http://10.0.0.1:8080", e.Text)
}

// UnmarshalText checks the URL.
func (s *server) UnmarshalText(text []byte) error {
	u, err := url.Parse(string(text))
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" {
		return &ServerURLError{Text: string(text)}
	}
	s.base = strings.TrimRight(u.String(), "/")
	return nil
}
