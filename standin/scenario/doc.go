// Package scenario holds end-to-end tests over real processes, most of them as
// testscript scripts, one for each guarantee or group of related faults. The scripts
// are in testdata, and the commands that they use are defined in the tests. Tests of
// requests around a planned stop are in Go: the behavior of their backend servers
// depends on the earlier attempts of a request. Each run builds the programs, uses
// only loopback addresses and free ports, and ends every process that it started.
package scenario
