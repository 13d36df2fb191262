// Package directory keeps the platform's list of entry hosts and backend servers
// as changes with revisions, so that one host can follow the list in the store
// and tell the others what changed since the revision that they have.
//
// It has a size limit on removed entries that it remembers; a host that asks for
// changes from before gets the whole list.
package directory
