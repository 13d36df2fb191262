// Package estimate holds running estimates of a stream in constant memory. They
// are approximate and never reset; the weight of old values decays with the
// number of new ones.
package estimate
