package telemetry

import (
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
)

// Observer logs and counts the reducer's effects for operators and serves the
// operator port. It implements control.Observer. Use NewObserver to create one.
type Observer struct {
	log     *log.Logger
	metrics *metrics
	ready   atomic.Bool
	queries statusQueries
}

// NewObserver returns an observer that reports not ready. The caller must close
// it.
func NewObserver(logger *log.Logger, sources ...MetricSource) *Observer {
	return &Observer{
		log:     logger,
		metrics: newMetrics(sources, logger),
		queries: statusQueries{pending: make(map[uint64]chan effect.Status)},
	}
}

// Close updates the metrics a last time and stops updating them.
func (o *Observer) Close() error { return o.metrics.close() }

// Observe handles RecordOutcome, RecordStop, Notice, SetReady and ReportStatus and
// ignores other effects. Only the control goroutine may call it.
func (o *Observer) Observe(f effect.Effect) {
	switch f := f.(type) {
	case effect.RecordOutcome:
		o.record(f.Outcome)
	case effect.RecordStop:
		o.recordStop(f.Summary)
	case effect.Notice:
		o.notice(f)
	case effect.SetReady:
		o.ready.Store(f.Ready)
	case effect.ReportStatus:
		o.queries.deliver(f)
	}
}

// RequestLogMessage is the message of the access log line of each request.
const RequestLogMessage = "request"

// record counts a request and writes its access log line, in which server_trust
// is the estimated success probability, truncated to two decimals.
func (o *Observer) record(r model.Outcome) {
	latency := time.Duration(r.Latency)
	o.metrics.record(r, latency)
	o.log.Info().
		Str("request", r.Name).
		Str("account", string(r.Account)).
		Str("route", string(r.Route)).
		Str("service", string(r.Service)).
		Str("server", string(r.Server)).
		Str("class", r.Class.String()).
		Str("verdict", r.Verdict.String()).
		Str("result", string(r.Result)).
		Str("reason", string(r.Reason)).
		Int("attempts", r.Attempts).
		Str("no_retry", string(r.NoRetry)).
		Str("token_cause", string(r.TokenCause)).
		Float64("server_trust", float64(int(r.SuccessProbability*100))/100).
		Bool("probe", r.IsProbe).
		Bool("service_short", r.ServiceShort).
		Uint64("version", r.Version).
		Int64("config_age_ms", ageMilliseconds(r.ConfigAge)).
		Strs("tried", serverIDs(r.Tried)).
		Strs("cancelled", serverIDs(r.Cancelled)).
		Int("status", r.Status).
		Bool("complete", r.Complete).
		Bool("caller_left", r.CallerLeft).
		Bool("stopping", r.Stopping).
		Int64("uptime_ms", milliseconds(r.Uptime)).
		Float64("latency_ms", float64(latency.Microseconds())/1000).
		Msg(RequestLogMessage)
}

// StopLogMessage is the message of the log line on the requests of a planned stop.
const StopLogMessage = "requests of the planned stop"

// recordStop writes the line on the requests of a planned stop. A process that was
// killed while one was in flight writes none.
func (o *Observer) recordStop(s model.StopSummary) {
	o.log.Info().
		Int("in_flight", s.InFlight).
		Int("arrived", s.Arrived).
		Int("incomplete", s.Incomplete).
		Int("replaced", s.Replaced).
		Msg(StopLogMessage)
}

func (o *Observer) notice(n effect.Notice) {
	o.metrics.notice(n.Kind)
	o.log.Warn().Str("kind", string(n.Kind)).Str("detail", n.Detail).Msg("notice")
}

// ageMilliseconds returns an age in milliseconds, or -1 if it is unknown.
func ageMilliseconds(age model.Instant) int64 {
	if age < 0 {
		return -1
	}
	return milliseconds(age)
}

func serverIDs(servers []model.ServerID) []string {
	names := make([]string, len(servers))
	for i, id := range servers {
		names[i] = string(id)
	}
	return names
}
