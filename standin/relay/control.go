package relay

import (
	"encoding/json"
	"net/http"
)

// Control returns a handler that gets and puts the rules as JSON at /rules.
func (r *Relay) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rules", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(r.Rules())
	})
	mux.HandleFunc("PUT /rules", func(w http.ResponseWriter, req *http.Request) {
		var rules []Rule
		decoder := json.NewDecoder(req.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&rules); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.SetRules(rules)
	})
	return mux
}
