// Package caller is a bounded load generator: it sends requests at a fixed rate
// to several hosts in turn, whether or not earlier ones have ended, checks that
// each answer is whole and belongs to its request, and sums up. Audit compares
// what callers were told with what backend servers ran.
package caller
