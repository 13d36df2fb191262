package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"pollensail.dev/standin/wait"
)

// exportChunkBytes is the size of one chunk of an export.
const exportChunkBytes = 16 << 10

// response is a complete JSON response and the request ID that it is for.
type response struct {
	requestID string
	body      []byte
}

// Body is the JSON body of a response to a lookup or filing.
type Body struct {
	Server   string `json:"server"`
	Request  string `json:"request"`
	Business string `json:"business"`
	Length   int    `json:"length"` // of the request's body
}

func (s *Server) respond(ctx context.Context, w http.ResponseWriter, r *http.Request, length int, decision faultDecision) {
	switch {
	case decision.reset:
		panic(http.ErrAbortHandler)
	case decision.fail:
		s.respondFailed(w, r)
	case s.config.Kind == Export:
		s.respondExport(ctx, w, r, decision)
	default:
		s.respondJSON(w, r, length, decision)
	}
}

func (s *Server) respondFailed(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.stats.Failed++
	s.mu.Unlock()
	s.setStatusHeaders(w)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	http.Error(w, "internal failure", http.StatusInternalServerError)
}

func (s *Server) respondJSON(w http.ResponseWriter, r *http.Request, length int, decision faultDecision) {
	id := r.Header.Get(HeaderRequestID)
	body, _ := json.Marshal(Body{
		Server:   s.config.Name,
		Request:  id,
		Business: r.URL.Query().Get("business"),
		Length:   length,
	})
	resp := s.recordResponse(response{requestID: id, body: body}, decision)
	s.setStatusHeaders(w)
	w.Header().Set(HeaderRequestID, resp.requestID)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	if decision.truncate {
		w.Write(resp.body[:len(resp.body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(resp.body)
}

// recordResponse stores the response as the last one. With the crossed response
// fault it returns the previous response, otherwise the given one.
func (s *Server) recordResponse(resp response, decision faultDecision) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.lastResponse
	s.lastResponse = resp
	if decision.cross && previous.body != nil {
		return previous
	}
	return resp
}

// respondExport streams lines of padding and a last line "end BUSINESS-ID".
func (s *Server) respondExport(ctx context.Context, w http.ResponseWriter, r *http.Request, decision faultDecision) {
	chunks := max(1, s.config.ExportBytes/exportChunkBytes)
	end := "end " + r.URL.Query().Get("business") + "\n"
	s.setStatusHeaders(w)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.Header().Set("Content-Length", strconv.Itoa(chunks*exportChunkBytes+len(end)))
	flusher := http.NewResponseController(w)
	chunk := append(bytes.Repeat([]byte{'.'}, exportChunkBytes-1), '\n')
	pause := s.currentServiceTime(decision.faults) / time.Duration(chunks)
	for i := range chunks {
		stop := decision.truncate && i >= chunks/2
		if stop || !wait.Sleep(ctx, pause) {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
		flusher.Flush()
	}
	fmt.Fprint(w, end)
}
