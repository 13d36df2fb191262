// Package telemetry provides the observability of a host: structured logs,
// metrics, and the operator port with /livez, /readyz, /metrics and /status.
// Observer handles the reducer's effects for operators and never blocks the
// control goroutine. API keys of client accounts never reach this package.
package telemetry
