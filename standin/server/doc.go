// Package server is the stand-in for a backend server. It runs requests in a
// limited number of slots with a bounded queue, echoes the request ID, reports
// its load, sheds requests when the queue is full, and keeps a ledger of what
// ran. Its injected faults imitate gray failures: work fails while the health
// endpoint succeeds, responses are truncated or crossed (sent for another
// request), the server is slow, flaps or drains.
//
// The work port handles every path as work, except /health and /load. The
// control port, which callers never reach, has PUT and GET /faults, GET
// /ledger, /received, /stats.
package server
