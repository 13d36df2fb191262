package telemetry

import (
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
	output *countingWriter
}

// NewLogger returns a logger of JSON lines. The level is debug, info, warn or
// error.
func NewLogger(w io.Writer, level string) *Logger {
	output := &countingWriter{async: log.AsyncWriter{
		Writer:        log.IOWriter{Writer: w},
		ChannelSize:   logBacklog,
		DiscardOnFull: true,
	}}
	return &Logger{
		Logger: log.Logger{Level: log.ParseLevel(level), Writer: output},
		output: output,
	}
}

// Lost returns how many lines were lost.
func (l *Logger) Lost() uint64 { return l.output.lost.Load() }

// Close writes what waits. Lines that come later are lost.
func (l *Logger) Close() error { return l.output.close() }

type countingWriter struct {
	async  log.AsyncWriter
	lost   atomic.Uint64
	mu     sync.RWMutex // keeps lines out of a closed channel
	closed bool
}

func (w *countingWriter) close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	w.closed = true
	return w.async.Close()
}

// WriteEntry implements log.Writer.
func (w *countingWriter) WriteEntry(e *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.lost.Add(1)
		return 0, nil
	}
	n, err := w.async.WriteEntry(e)
	if err != nil {
		w.lost.Add(1)
	}
	return n, err
}
