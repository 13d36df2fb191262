package configuration

import "strings"

// routeIndex finds a route by the longest prefix of a path, in one map lookup
// for each element of the path. The zero value is empty.
type routeIndex struct {
	byPath map[string]*Route
}

func (x *routeIndex) add(r *Route) {
	if x.byPath == nil {
		x.byPath = make(map[string]*Route)
	}
	x.byPath[trimSlash(r.Path)] = r
}

// get returns the route of exactly this path.
func (x *routeIndex) get(path string) (*Route, bool) {
	r, ok := x.byPath[trimSlash(path)]
	return r, ok
}

func (x *routeIndex) remove(r *Route) { delete(x.byPath, trimSlash(r.Path)) }

func (x *routeIndex) match(path string) (*Route, bool) {
	path = trimSlash(path)
	for {
		if r, ok := x.byPath[path]; ok {
			return r, true
		}
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return nil, false
		}
		path = path[:i]
	}
}

func trimSlash(path string) string { return strings.TrimSuffix(path, "/") }
