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

// ExitCode is the exit code of a process whose settings are broken.
const ExitCode = 2

// Error says what is wrong with a settings file.
type Error struct {
	File    string
	Line    int    // 0 where the fault concerns no line, such as a missing key
	Key     string // dotted; empty where the file is no TOML
	Problem string // what was found and what was expected
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

// Load reads and checks a settings file. Every error is an *Error.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &Error{File: file, Problem: readProblem(err)}
	}
	return Parse(file, data)
}

// Parse checks the content of a settings file. The name serves errors only.
func Parse(file string, data []byte) (Settings, error) {
	s := defaults()
	meta, err := toml.NewDecoder(bytes.NewReader(data)).Decode(&s)
	if err != nil {
		return Settings{}, syntaxError(file, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return Settings{}, unknownKey(file, data, unknown[0])
	}
	if key, problem := s.check(); key != "" {
		line := keyLine(data, strings.Split(key, "."))
		return Settings{}, &Error{File: file, Line: line, Key: key, Problem: problem}
	}
	return s, nil
}

func readProblem(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		err = p.Err
	}
	return "cannot read: " + err.Error()
}

func syntaxError(file string, err error) error {
	var p toml.ParseError
	if errors.As(err, &p) {
		return &Error{File: file, Line: p.Position.Line, Key: p.LastKey, Problem: p.Message}
	}
	return &Error{File: file, Problem: err.Error()}
}

func unknownKey(file string, data []byte, key toml.Key) error {
	return &Error{
		File:    file,
		Line:    keyLine(data, key),
		Key:     key.String(),
		Problem: "unknown key, expected " + knownKeys(key),
	}
}

// check returns the first key whose value is missing or wrong.
func (s *Settings) check() (key, problem string) {
	required := []struct{ key, value, want string }{
		{"host", string(s.Host), "the id of this host"},
		{"domain", string(s.Domain), "the failure domain of this host"},
		{"listen.caller", string(s.Listen.Caller), "an address for callers"},
		{"listen.peer", string(s.Listen.Peer), "an address for other hosts"},
		{"listen.operator", string(s.Listen.Operator), "an address for operators"},
		{"store.address", string(s.Store.Address), "the address of the platform store"},
	}
	for _, r := range required {
		if r.value == "" {
			return r.key, "missing, expected " + r.want
		}
	}
	if key, problem := s.TLS.check(); key != "" {
		return key, problem
	}
	if p := s.Store.Protocol; p != ProtocolOwn && p != ProtocolPlatform {
		return "store.protocol", expected(p, `"own" or "platform"`).Error()
	}
	if s.Store.Protocol == ProtocolPlatform && len(s.Platform.Domains) == 0 {
		return "platform.domains", "missing, expected the failure domains of the fleet"
	}
	if s.Limits.Connections < 1 {
		return "limits.connections", "expected a number of at least 1"
	}
	if log.ParseLevel(s.Log.Level) > log.ErrorLevel || log.ParseLevel(s.Log.Level) < log.DebugLevel {
		return "log.level", expected(s.Log.Level, "debug, info, warn or error").Error()
	}
	return "", ""
}

func (t *TLS) check() (key, problem string) {
	files := []struct{ key, value string }{
		{"tls.certificate", t.Certificate}, {"tls.key", t.Key}, {"tls.authority", t.Authority},
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
