package server

import (
	"net"
	"net/http"
	"sync"
)

// listener opens and closes the work port at one address. The zero value is
// not open.
type listener struct {
	mu      sync.Mutex
	address string // where it was first opened
	handler http.Handler
	open    *http.Server
}

// Listen opens the work port and returns its address. It refuses and takes
// connections at that address as the faults say.
func (s *Server) Listen(address string) (string, error) {
	l := &s.listen
	l.mu.Lock()
	l.address, l.handler = address, s.Work()
	l.mu.Unlock()
	if err := l.set(true); err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address, nil
}

// Close closes the work port and its connections.
func (s *Server) Close() error { return s.listen.set(false) }

func (l *listener) set(open bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handler == nil || open == (l.open != nil) {
		return nil
	}
	if !open {
		err := l.open.Close()
		l.open = nil
		return err
	}
	socket, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.address = socket.Addr().String()
	l.open = &http.Server{Handler: l.handler}
	go l.open.Serve(socket)
	return nil
}
