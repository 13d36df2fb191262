// Package directory keeps the platform's list of entry hosts and backend
// servers with a revision for each change. One host can follow the list in the
// store and send the others the changes since the revision that they have.
//
// Removed entries are kept as tombstones up to a limit (maxTombstones). A host
// that asks for changes from before the oldest retained ones gets the whole
// list.
package directory
