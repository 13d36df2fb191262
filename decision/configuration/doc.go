// Package configuration implements the operators' tree of settings: branches
// that inherit from their parents, validation, three-way merge, and the compiled
// Snapshot that a host serves by. It is independent of file and wire formats.
//
// A branch without branches below it is an object: an account, a route or a
// service. The other branches are inner branches, which hold settings for
// objects to inherit. The encoded tree is divided into shards.
package configuration
