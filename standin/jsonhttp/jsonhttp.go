// Package jsonhttp reads and writes the JSON of the stand-ins' control ports.
package jsonhttp

import (
	"encoding/json"
	"net/http"
)

// Write writes v as the whole answer.
func Write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// Read decodes the body of a request. A field that v does not have, such as a
// misspelt fault, is answered with 400, and Read reports false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
