// Package memory bounds what a host holds for callers and servers: bodies of
// requests, responses that are read whole, and retained answers. It decides which
// body may grow and which request has to yield when the bound is reached.
package memory
