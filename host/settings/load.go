package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/phuslu/log"
)

// ExitCodeInvalid is the exit code of a process whose settings are invalid or
// cannot be used.
const ExitCodeInvalid = 2

// Error is a problem of a settings file.
type Error struct {
	File    string
	Line    int    // 0 if the problem has no line, such as a missing key
	Key     string // dotted; empty if the problem concerns no single key
	Problem string // actual and expected value
}

// Error returns "file:line: key: problem".
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Key != "" {
		b.WriteString(": " + e.Key)
	}
	b.WriteString(": " + e.Problem)
	return b.String()
}

// Load reads and validates a settings file. Every error is an *Error.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &Error{File: file, Problem: describeReadError(err)}
	}
	return Parse(file, data)
}

// Parse parses and validates the content of a settings file. The file name is
// used in errors only.
func Parse(file string, data []byte) (Settings, error) {
	s := defaults()
	meta, err := toml.NewDecoder(bytes.NewReader(data)).Decode(&s)
	if err != nil {
		return Settings{}, newSyntaxError(file, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return Settings{}, newUnknownKeyError(file, data, unknown[0])
	}
	if key, problem := s.validate(); key != "" {
		line := keyLine(data, strings.Split(key, "."))
		return Settings{}, &Error{File: file, Line: line, Key: key, Problem: problem}
	}
	return s, nil
}

func describeReadError(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		err = p.Err
	}
	return "cannot read: " + err.Error()
}

func newSyntaxError(file string, err error) error {
	var p toml.ParseError
	if errors.As(err, &p) {
		return &Error{File: file, Line: p.Position.Line, Key: p.LastKey, Problem: p.Message}
	}
	return &Error{File: file, Problem: err.Error()}
}

func newUnknownKeyError(file string, data []byte, key toml.Key) error {
	return &Error{
		File:    file,
		Line:    keyLine(data, key),
		Key:     key.String(),
		Problem: "unknown key, expected " + describeKnownKeys(key),
	}
}

// validate returns the first key whose value is missing or invalid, and the
// problem. The key is empty if the settings are valid.
func (s *Settings) validate() (key, problem string) {
	required := []struct{ key, value, expected string }{
		{"host", string(s.Host), "the id of this host"},
		{"domain", string(s.Domain), "the failure domain of this host"},
		{"listen.caller", string(s.Listen.Caller), "an address for callers"},
		{"listen.peer", string(s.Listen.Peer), "an address for other hosts"},
		{"listen.operator", string(s.Listen.Operator), "an address for operators"},
		{"store.address", string(s.Store.Address), "the address of the platform store"},
	}
	for _, r := range required {
		if r.value == "" {
			return r.key, "missing, expected " + r.expected
		}
	}
	if key, problem := s.TLS.validate(); key != "" {
		return key, problem
	}
	if p := s.Store.Protocol; p != ProtocolOwn && p != ProtocolPlatform {
		return "store.protocol", mismatchError(p, `"own" or "platform"`).Error()
	}
	if s.Store.Protocol == ProtocolPlatform && len(s.Platform.Domains) == 0 {
		return "platform.domains", "missing, expected the failure domains of the fleet"
	}
	if s.Limits.CallerConnections < 1 {
		return "limits.connections", "expected a number of at least 1"
	}
	if log.ParseLevel(s.Log.Level) > log.ErrorLevel || log.ParseLevel(s.Log.Level) < log.DebugLevel {
		return "log.level", mismatchError(s.Log.Level, "debug, info, warn or error").Error()
	}
	return "", ""
}

func (t *TLS) validate() (key, problem string) {
	files := []struct{ key, value string }{
		{"tls.certificate", t.CertificateFile}, {"tls.key", t.KeyFile}, {"tls.authority", t.CAFile},
	}
	for _, f := range files {
		if t.Insecure && f.value != "" {
			return f.key, "excluded by tls.insecure = true, expected one or the other"
		}
		if !t.Insecure && f.value == "" {
			return f.key, "missing, expected a PEM file, or tls.insecure = true"
		}
	}
	return "", ""
}
