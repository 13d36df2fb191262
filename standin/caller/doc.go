// Package caller is an open-loop load generator: it sends a bounded number of
// requests at a fixed rate to several hosts round-robin, whether or not earlier
// requests have completed. It checks that each response is complete and belongs
// to its request, and summarizes the results. Audit compares the verdicts that
// callers received with what backend servers ran.
//
// A crossed response is one that belongs to another request. A business ID is a
// UUID that identifies a request in the response and in the servers' ledgers.
package caller
