// Package jsonhttp decodes and encodes JSON for the control ports of the
// stand-ins.
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

// Encode writes v as the JSON body of the response.
func Encode(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// Decode decodes the JSON body of a request into v and reports whether it is
// valid. If not, Decode responds with status 400. A field that v does not have,
// such as a misspelt fault, is invalid, too.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
