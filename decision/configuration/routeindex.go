package configuration

import "strings"

// routeIndex finds a route by host name and longest-prefix match of the path, with
// two hash map lookups for each path element. The zero value is empty.
type routeIndex struct {
	byKey map[routeKey]*Route
}

// routeKey is a host name and path prefix that a route matches. An empty host
// matches any.
type routeKey struct {
	host string
	path string
}

func (r *Route) keys() []routeKey {
	if len(r.Hosts) == 0 {
		return []routeKey{{"", r.Path}}
	}
	keys := make([]routeKey, len(r.Hosts))
	for i, host := range r.Hosts {
		keys[i] = routeKey{host, r.Path}
	}
	return keys
}

// add adds a route. A key of several routes belongs to the one with the lowest ID,
// in whichever order they are added.
func (x *routeIndex) add(r *Route) {
	if x.byKey == nil {
		x.byKey = make(map[routeKey]*Route)
	}
	for _, key := range r.keys() {
		if other, ok := x.byKey[key]; !ok || r.ID <= other.ID {
			x.byKey[key] = r
		}
	}
}

// conflicting returns an indexed route that shares a key with r.
func (x *routeIndex) conflicting(r *Route) (*Route, bool) {
	for _, key := range r.keys() {
		if other, ok := x.byKey[key]; ok {
			return other, true
		}
	}
	return nil, false
}

func (x *routeIndex) remove(r *Route) {
	for _, key := range r.keys() {
		delete(x.byKey, key)
	}
}

func (x *routeIndex) match(host, path string) (*Route, bool) {
	if r, ok := x.longestPrefix(host, path); ok {
		return r, true
	}
	return x.longestPrefix("", path)
}

// longestPrefix tries the prefixes of a path that end before or after a slash,
// the longest first. A route whose path ends with a slash matches only what is
// below it.
func (x *routeIndex) longestPrefix(host, path string) (*Route, bool) {
	for path != "" {
		if r, ok := x.byKey[routeKey{host, path}]; ok {
			return r, true
		}
		if before, ok := strings.CutSuffix(path, "/"); ok {
			path = before
			continue
		}
		path = path[:strings.LastIndexByte(path, '/')+1]
	}
	return nil, false
}

func trimTrailingSlash(path string) string { return strings.TrimSuffix(path, "/") }
