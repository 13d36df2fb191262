// Package telemetry shows operators what a host does: structured log lines,
// metrics, and the operator port with /livez, /readyz, /metrics and /status.
// Observer takes the reducer's effects for operators and never blocks the
// control goroutine. No key of a client account reaches this package.
package telemetry
