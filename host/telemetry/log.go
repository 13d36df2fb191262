package telemetry

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
)

// logBacklog is how many lines may wait for the output.
const logBacklog = 4096

// Logger is a logger whose lines are written in a goroutine of its own. Lines
// that the output does not take in time are lost and counted, because a
// blocked output must not block the control goroutine.
type Logger struct {
	log.Logger
	output *output
}

// NewLogger returns a logger of JSON lines. The level is debug, info, warn or
// error.
func NewLogger(w io.Writer, level string) *Logger {
	output := newOutput(w)
	return &Logger{
		Logger: log.Logger{Level: log.ParseLevel(level), Writer: log.IOWriter{Writer: output}},
		output: output,
	}
}

// Lost returns how many lines were lost.
func (l *Logger) Lost() uint64 { return l.output.lost.Load() }

// Close writes what waits. Lines that come later are lost.
func (l *Logger) Close() error { return l.output.close() }

// output writes lines in a goroutine of its own. The logging library has such
// a writer too, but it touches a line after it has handed it over, which the
// race detector reports.
type output struct {
	lines chan []byte
	ended chan error // gets the first error of the writer
	lost  atomic.Uint64

	mu     sync.RWMutex // keeps lines out of a closed channel
	closed bool
}

func newOutput(w io.Writer) *output {
	o := &output{lines: make(chan []byte, logBacklog), ended: make(chan error, 1)}
	go o.run(w)
	return o
}

func (o *output) run(w io.Writer) {
	var first error
	for line := range o.lines {
		if _, err := w.Write(line); err != nil && first == nil {
			first = err
		}
	}
	o.ended <- first
}

// Write implements io.Writer. It never blocks; the library reuses p.
func (o *output) Write(p []byte) (int, error) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if o.closed {
		o.lost.Add(1)
		return len(p), nil
	}
	select {
	case o.lines <- bytes.Clone(p):
	default:
		o.lost.Add(1)
	}
	return len(p), nil
}

func (o *output) close() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil
	}
	o.closed = true
	close(o.lines)
	return <-o.ended
}
