// Package estimate holds small running estimates in constant memory. They are
// approximate and never reset; each forgets old values at a fixed pace.
package estimate
