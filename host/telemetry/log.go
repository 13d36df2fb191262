package telemetry

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
)

// logQueueCapacity is the maximum number of lines that wait to be written.
const logQueueCapacity = 4096

// Logger is an asynchronous logger of JSON lines. When its queue is full, lines
// are dropped and counted, so that a blocked output never blocks the control
// goroutine.
type Logger struct {
	log.Logger
	writer *asyncWriter
}

// NewLogger returns a logger that writes to w. The level is debug, info, warn or
// error.
func NewLogger(w io.Writer, level string) *Logger {
	writer := newAsyncWriter(w)
	return &Logger{
		Logger: log.Logger{Level: log.ParseLevel(level), Writer: log.IOWriter{Writer: writer}},
		writer: writer,
	}
}

// LostLines returns the number of lines that were dropped.
func (l *Logger) LostLines() uint64 { return l.writer.lost.Load() }

// Close writes the queued lines. Later lines are dropped.
func (l *Logger) Close() error { return l.writer.close() }

// asyncWriter writes lines in its own goroutine. It replaces the logging
// library's asynchronous writer, which accesses a line after passing it on: the
// race detector reports that.
type asyncWriter struct {
	lines  chan []byte
	result chan error // receives the first write error, or nil, when run ends
	lost   atomic.Uint64

	mu     sync.RWMutex // prevents a send on the closed channel
	closed bool
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	o := &asyncWriter{lines: make(chan []byte, logQueueCapacity), result: make(chan error, 1)}
	go o.run(w)
	return o
}

func (o *asyncWriter) run(w io.Writer) {
	var firstErr error
	for line := range o.lines {
		if _, err := w.Write(line); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	o.result <- firstErr
}

// Write implements io.Writer. It never blocks, and copies p, which the logging
// library reuses.
func (o *asyncWriter) Write(p []byte) (int, error) {
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

func (o *asyncWriter) close() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil
	}
	o.closed = true
	close(o.lines)
	return <-o.result
}
