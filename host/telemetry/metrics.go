package telemetry

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
	"unicode"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
)

const (
	// MaxAccounts limits the cardinality of the account label. At the target size
	// there are 48,000 client accounts, whose metrics would not fit in a host's
	// memory.
	MaxAccounts = 512
	// minGenerationAge is the minimum age at which a full generation is replaced.
	minGenerationAge = 10 * time.Minute
	// reportInterval is the time between two updates of the values on /metrics.
	reportInterval = time.Second
	// overflowLabel is the label value of all accounts beyond MaxAccounts.
	overflowLabel = "other"
	// noAccountLabel is the label value of requests without an account.
	noAccountLabel = "none"
)

// latencyBuckets are the upper bounds of the latency histograms. The bound of
// 5 ms is near the target for the latency that a host adds.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2500 * time.Microsecond, 5 * time.Millisecond,
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
	30 * time.Second, time.Minute,
}

// sanitizeOptions leaves label values unchanged: account IDs are paths, and the
// reporter's default would replace "/" and so merge different accounts.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters:       tallyprom.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        tallyprom.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: []tally.SanitizeRange{{0, unicode.MaxRune}}},
	ReplacementCharacter: tallyprom.DefaultSanitizerOpts.ReplacementCharacter,
}

// MetricSource is a metric whose value another package keeps. Read is called at
// each scrape and must be safe for concurrent use.
type MetricSource struct {
	Name string // without the prefix "pollensail_"
	Help string
	// Labels distinguish sources with the same name, which must all have the same
	// label names.
	Labels map[string]string
	// IsGauge is true if the value can decrease; otherwise the metric is a
	// counter.
	IsGauge bool
	Read    func() float64
}

// metrics holds the current generation of metrics. A tally reporter cannot remove
// a Prometheus series. So when a generation has MaxAccounts accounts and is older
// than minGenerationAge, a new one replaces all metrics, which Prometheus sees as
// a restart. Only the control goroutine writes.
type metrics struct {
	sources []MetricSource
	log     *log.Logger
	current atomic.Pointer[generation]
}

func newMetrics(sources []MetricSource, logger *log.Logger) *metrics {
	m := &metrics{sources: sources, log: logger}
	m.current.Store(m.newGeneration())
	return m
}

func (m *metrics) close() error { return m.current.Load().closer.Close() }

// handler serves the current generation and the gauges of the host's state.
func (m *metrics) handler(state prometheus.Collector) http.Handler {
	host := prometheus.NewRegistry()
	host.MustRegister(state)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		all := prometheus.Gatherers{m.current.Load().registry, host}
		promhttp.HandlerFor(all, promhttp.HandlerOpts{}).ServeHTTP(w, r)
	})
}

// record counts the outcome of a request and observes its latency.
func (m *metrics) record(outcome model.Outcome, latency time.Duration) {
	g := m.current.Load()
	if g.isFullFor(outcome.Account) && time.Since(g.started) > minGenerationAge {
		go g.closer.Close()
		g = m.newGeneration()
		m.current.Store(g)
	}
	g.record(outcome, latency)
}

func (m *metrics) notice(kind effect.NoticeKind) { m.current.Load().notice(kind) }

// generation is the complete metrics of one set of accounts.
type generation struct {
	started    time.Time
	scope      tally.Scope
	closer     io.Closer
	registry   *prometheus.Registry
	accounts   map[model.AccountID]struct{}
	histograms map[histogramKey]tally.Histogram
	counters   map[counterKey]tally.Counter
	notices    map[effect.NoticeKind]tally.Counter
}

type histogramKey struct {
	account string
	class   model.Class
}

type counterKey struct {
	account string
	result  model.Result
	reason  model.Reason
	verdict model.Verdict
}

func (m *metrics) newGeneration() *generation {
	registry := prometheus.NewRegistry()
	for _, s := range m.sources {
		registry.MustRegister(s.collector())
	}
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		// The default handler panics. Here the metric only stays unregistered.
		OnRegisterError: func(err error) { m.log.Error().Err(err).Msg("metric not registered") },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "pollensail",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &sanitizeOptions,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &generation{
		started:    time.Now(),
		scope:      scope,
		closer:     closer,
		registry:   registry,
		accounts:   make(map[model.AccountID]struct{}),
		histograms: make(map[histogramKey]tally.Histogram),
		counters:   make(map[counterKey]tally.Counter),
		notices:    make(map[effect.NoticeKind]tally.Counter),
	}
}

func (s MetricSource) collector() prometheus.Collector {
	opts := prometheus.Opts{Namespace: "pollensail", Name: s.Name, Help: s.Help, ConstLabels: s.Labels}
	if s.IsGauge {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts(opts), s.Read)
	}
	return prometheus.NewCounterFunc(prometheus.CounterOpts(opts), s.Read)
}

// isFullFor reports whether the account has no label of its own and the
// generation already has MaxAccounts accounts.
func (g *generation) isFullFor(id model.AccountID) bool {
	_, known := g.accounts[id]
	return id != "" && !known && len(g.accounts) >= MaxAccounts
}

// accountLabel returns the label value of an account. It adds a new account while
// the generation has fewer than MaxAccounts.
func (g *generation) accountLabel(id model.AccountID) string {
	if id == "" {
		return noAccountLabel
	}
	if g.isFullFor(id) {
		return overflowLabel
	}
	g.accounts[id] = struct{}{}
	return string(id)
}

func (g *generation) record(r model.Outcome, latency time.Duration) {
	account := g.accountLabel(r.Account)
	g.histogram(histogramKey{account, r.Class}).RecordDuration(latency)
	g.counter(counterKey{account, r.Result, r.Reason, r.Verdict}).Inc(1)
}

func (g *generation) histogram(k histogramKey) tally.Histogram {
	h, ok := g.histograms[k]
	if !ok {
		tags := map[string]string{"account": k.account, "class": k.class.String()}
		h = g.scope.Tagged(tags).Histogram("request_seconds", latencyBuckets)
		g.histograms[k] = h
	}
	return h
}

func (g *generation) counter(k counterKey) tally.Counter {
	c, ok := g.counters[k]
	if !ok {
		c = g.scope.Tagged(map[string]string{
			"account": k.account,
			"result":  string(k.result),
			"reason":  string(k.reason),
			"verdict": k.verdict.String(),
		}).Counter("requests_total")
		g.counters[k] = c
	}
	return c
}

func (g *generation) notice(kind effect.NoticeKind) {
	c, ok := g.notices[kind]
	if !ok {
		c = g.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("notices_total")
		g.notices[kind] = c
	}
	c.Inc(1)
}
