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

// exportChunk is the size in bytes of one piece of an export.
const exportChunk = 16 << 10

// answer is a whole answer.
type answer struct {
	request string
	body    []byte
}

// Body is the JSON of an answer to a lookup or filing.
type Body struct {
	Server   string `json:"server"`
	Request  string `json:"request"`
	Business string `json:"business"`
	Length   int    `json:"length"` // of the request's body
}

func (s *Server) answer(ctx context.Context, w http.ResponseWriter, r *http.Request, length int, p plan) {
	switch {
	case p.reset:
		panic(http.ErrAbortHandler)
	case p.fail:
		s.fail(w, r)
	case s.config.Kind == Export:
		s.export(ctx, w, r, p)
	default:
		s.small(w, r, length, p)
	}
}

func (s *Server) fail(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.stats.Failed++
	s.mu.Unlock()
	s.stamp(w)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	http.Error(w, "internal failure", http.StatusInternalServerError)
}

func (s *Server) small(w http.ResponseWriter, r *http.Request, length int, p plan) {
	id := r.Header.Get(HeaderRequestID)
	body, _ := json.Marshal(Body{
		Server:   s.config.Name,
		Request:  id,
		Business: r.URL.Query().Get("business"),
		Length:   length,
	})
	a := s.cross(answer{request: id, body: body}, p)
	s.stamp(w)
	w.Header().Set(HeaderRequestID, a.request)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	if p.truncate {
		w.Write(a.body[:len(a.body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(a.body)
}

// cross keeps the answer and returns the one before it where the fault says so.
func (s *Server) cross(a answer, p plan) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.last
	s.last = a
	if p.cross && before.body != nil {
		return before
	}
	return a
}

// export streams lines of filler and a last line "end BUSINESS".
func (s *Server) export(ctx context.Context, w http.ResponseWriter, r *http.Request, p plan) {
	chunks := max(1, s.config.Size/exportChunk)
	end := "end " + r.URL.Query().Get("business") + "\n"
	s.stamp(w)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.Header().Set("Content-Length", strconv.Itoa(chunks*exportChunk+len(end)))
	flusher := http.NewResponseController(w)
	chunk := append(bytes.Repeat([]byte{'.'}, exportChunk-1), '\n')
	pause := s.workTime(p.faults) / time.Duration(chunks)
	for i := range chunks {
		stop := p.truncate && i >= chunks/2
		if stop || !wait.For(ctx, pause) {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
		flusher.Flush()
	}
	fmt.Fprint(w, end)
}
