// Package server is the stand-in for a backend server: it works on requests in
// a bounded number of slots, echoes the request id, reports its load, sheds
// what it cannot take, and keeps a ledger of what ran. Its faults imitate gray
// failures: work fails while the health endpoint answers, answers are cut off
// or crossed, the server is slow, flaps or drains.
//
// The work port answers every path as work, except /health and /load. The
// control port, which callers never reach, has PUT and GET /faults, GET
// /ledger, /received, /stats.
package server
