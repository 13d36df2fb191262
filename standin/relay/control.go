package relay

import (
	"net/http"

	"pollensail.dev/standin/jsonhttp"
)

// ControlHandler returns the handler of the control port, which reads and
// replaces the rules as JSON at /rules.
func (r *Relay) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rules", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Encode(w, r.Rules())
	})
	mux.HandleFunc("PUT /rules", func(w http.ResponseWriter, req *http.Request) {
		var rules []Rule
		if jsonhttp.Decode(w, req, &rules) {
			r.SetRules(rules)
		}
	})
	return mux
}
