// Package explain finds in the logs of a fleet what bears on one request: its own
// lines, the changes of state on any host around it, and failed requests at the
// servers that it was sent to.
//
// It reads structured lines as hosts write them; text before the first brace of a
// line, as log collectors add it, is kept as the line's origin. All lines that may
// matter are held in memory: give it the logs of some minutes.
package explain
