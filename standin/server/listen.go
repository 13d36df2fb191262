package server

import (
	"net"
	"net/http"
	"sync"
)

// workPort is a listener that can be closed and opened again at the same address.
// The zero value is closed.
type workPort struct {
	mu         sync.Mutex
	address    string // fixed once the port has been opened
	handler    http.Handler
	httpServer *http.Server
}

// Listen opens the work port and returns its address. The fault Refuse closes the
// port until the fault is removed.
func (s *Server) Listen(address string) (string, error) {
	port := &s.workPort
	port.mu.Lock()
	port.address, port.handler = address, s.WorkHandler()
	port.mu.Unlock()
	if err := port.setOpen(true); err != nil {
		return "", err
	}
	port.mu.Lock()
	defer port.mu.Unlock()
	return port.address, nil
}

// Close closes the work port and its connections.
func (s *Server) Close() error { return s.workPort.setOpen(false) }

func (l *workPort) setOpen(open bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handler == nil || open == (l.httpServer != nil) {
		return nil
	}
	if !open {
		err := l.httpServer.Close()
		l.httpServer = nil
		return err
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.address = listener.Addr().String()
	l.httpServer = &http.Server{Handler: l.handler}
	go l.httpServer.Serve(listener)
	return nil
}
