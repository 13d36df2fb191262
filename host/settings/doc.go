// Package settings reads the TOML settings file of a pollensail process: its
// identity, its listen addresses and its local limits. Parsing is strict: an
// unknown key and a missing or malformed value are errors that name the file,
// the line, the key and the expected value. The configuration tree that
// operators edit is not part of this file; it comes from the platform store.
package settings
