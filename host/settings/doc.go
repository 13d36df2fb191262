// Package settings reads the TOML file that tells a process what it is and
// where it listens. Reading is strict: an unknown key, a missing or malformed
// value ends with an Error that names the file, the line, the key and what was
// expected. The operators' tree of settings is not read here; it comes from
// the platform store.
package settings
