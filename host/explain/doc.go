// Package explain searches the logs of a fleet for everything related to one
// request: the request's own log lines, state changes on any host around that
// time, and other failed requests at the servers that the request was sent to.
//
// It reads the JSON log lines of hosts. A prefix before the first brace, as log
// collectors add it, is kept as part of the line's origin. All lines are held in
// memory, so the input should cover a few minutes only.
package explain
