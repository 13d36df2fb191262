// Package process assembles an entry host from its settings: the control loop,
// the adapters around it, and their start and end.
package process
