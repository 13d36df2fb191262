// Package standin groups the stand-ins that tests and the demo use in place of
// the platform and of backend servers.
package standin
