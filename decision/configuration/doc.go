// Package configuration holds the operators' tree of settings: branches that
// inherit from their parent, validation, and the compiled Snapshot that a host
// serves by. It knows no file or wire format.
package configuration
