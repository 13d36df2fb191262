package configuration

import "strings"

// routeIndex finds a route by host name and the longest prefix of a path, in
// two map lookups for each element of the path. The zero value is empty.
type routeIndex struct {
	byKey map[routeKey]*Route
}

// routeKey is one place of a route. An empty host stands for any.
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

func (x *routeIndex) add(r *Route) {
	if x.byKey == nil {
		x.byKey = make(map[routeKey]*Route)
	}
	for _, key := range r.keys() {
		x.byKey[key] = r
	}
}

// other returns a route that has one of the places of r.
func (x *routeIndex) other(r *Route) (*Route, bool) {
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
	if r, ok := x.longest(host, path); ok {
		return r, true
	}
	return x.longest("", path)
}

// longest tries the prefixes of a path that end before or after a slash, the
// longest first. A route that ends with a slash has only what lies below it.
func (x *routeIndex) longest(host, path string) (*Route, bool) {
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

func trimSlash(path string) string { return strings.TrimSuffix(path, "/") }
