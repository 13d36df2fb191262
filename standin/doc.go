// Package standin groups the test doubles that tests and the demo use in place
// of the platform, of backend servers and of callers.
package standin
