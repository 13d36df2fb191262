// Package process assembles an entry host from its settings: the control loop,
// the I/O adapters around it, and their startup and shutdown.
package process
