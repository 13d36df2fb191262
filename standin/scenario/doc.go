// Package scenario holds end-to-end tests over real processes as testscript
// scripts, one for each guarantee or group of related faults. The scripts are in
// testdata, and the commands that they use are defined in the tests. Each run
// builds the programs, uses only loopback addresses and free ports, and ends
// every process that it started.
package scenario
