// Package scenario holds scripted scenarios over real processes, one for each
// promise or closely related faults. The scripts are in testdata, the commands
// that they use are in the tests. Each run builds the programs, uses loopback
// addresses and free ports only, and ends every process that it started.
package scenario
