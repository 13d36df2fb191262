package telemetry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/socket"
)

// The limits of the operator port.
const (
	operatorTimeout        = 10 * time.Second
	operatorMaxHeaderBytes = 16 << 10
	// maxOperatorConnections limits the open connections of probes and scrapes.
	maxOperatorConnections = 64
)

// Serve serves the operator port until ctx is done.
func (o *Observer) Serve(ctx context.Context, listener net.Listener, loop Loop) error {
	server := &http.Server{
		Handler:           o.Handler(loop),
		ReadHeaderTimeout: operatorTimeout,
		WriteTimeout:      operatorTimeout,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    operatorMaxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.Serve(socket.LimitListener(listener, maxOperatorConnections))
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

// Handler returns the handler of the operator port.
func (o *Observer) Handler(loop Loop) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, r *http.Request) { o.serveLive(w, r, loop) })
	mux.HandleFunc("GET /readyz", o.serveReady)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) { o.serveStatus(w, r, loop) })
	mux.Handle("GET /metrics", o.metrics.handler(stateCollector{&o.queries, loop}))
	return mux
}

// serveLive is the liveness probe: it succeeds while the control goroutine
// handles events.
func (o *Observer) serveLive(w http.ResponseWriter, r *http.Request, loop Loop) {
	if _, err := o.queries.query(r.Context(), loop); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("alive\n"))
}

// serveReady is the readiness probe.
func (o *Observer) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !o.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

func (o *Observer) serveStatus(w http.ResponseWriter, r *http.Request, loop Loop) {
	status, err := o.queries.query(r.Context(), loop)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.Encode(newStatus(status))
}

// Status is the JSON body of /status.
type Status struct {
	Host        string           `json:"host"`
	Incarnation uint64           `json:"incarnation"`
	Domain      string           `json:"domain"`
	Region      string           `json:"region,omitempty"` // unset: unknown
	Authority   string           `json:"authority"`
	Version     uint64           `json:"version"`
	Ready       bool             `json:"ready"`
	InFlight    int              `json:"in_flight"`
	Slots       []SlotStatus     `json:"slots"`
	Balance     []ServiceBalance `json:"balance,omitempty"` // of services whose load is estimated
	Servers     []ServerStatus   `json:"servers"`
	Refusals    []RefusalCount   `json:"refusals"`
	// ConfigProblem says why the newest configuration in the store cannot be read,
	// or which of its objects are unusable.
	ConfigProblem string           `json:"config_problem,omitempty"`
	Evacuation    EvacuationStatus `json:"evacuation"`
}

// SlotStatus is a slot that the host owns.
type SlotStatus struct {
	Domain      string `json:"domain"`
	Index       int    `json:"index"`
	Term        uint64 `json:"term"`
	ExpiresInMS int64  `json:"expires_in_ms"`
}

// ServerStatus is a backend server that does not receive requests normally.
type ServerStatus struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	State   string `json:"state"`
	Detail  string `json:"detail,omitempty"`
}

// RefusalCount is the number of requests of an account that were refused for a
// reason since the process started.
type RefusalCount struct {
	Account string `json:"account"`
	Reason  string `json:"reason"`
	Count   uint64 `json:"count"`
}

func newStatus(s effect.Status) Status {
	status := Status{
		Host:        string(s.Host.ID),
		Incarnation: s.Host.Incarnation,
		Domain:      string(s.Domain),
		Region:      string(s.Region),
		Authority:   s.Authority,
		Version:     s.Version,
		Ready:       s.Ready,
		InFlight:    s.InFlight,
		Slots:       make([]SlotStatus, 0, len(s.Slots)),
		Balance:     newBalance(s.Balance),
		Servers:     make([]ServerStatus, 0, len(s.Servers)),
		Refusals:    make([]RefusalCount, 0, len(s.Refusals)),

		ConfigProblem: s.ConfigProblem,
		Evacuation:    newEvacuationStatus(s.Evacuation),
	}
	for _, slot := range s.Slots {
		status.Slots = append(status.Slots, SlotStatus{
			Domain:      string(slot.Slot.Domain),
			Index:       slot.Slot.Index,
			Term:        slot.Term,
			ExpiresInMS: milliseconds(slot.ExpiresIn),
		})
	}
	for _, server := range s.Servers {
		status.Servers = append(status.Servers, ServerStatus{string(server.Service), string(server.Server), server.State, server.Detail})
	}
	for _, r := range s.Refusals {
		status.Refusals = append(status.Refusals, RefusalCount{string(r.Account), string(r.Reason), r.Count})
	}
	return status
}

func milliseconds(d model.Instant) int64 { return time.Duration(d).Milliseconds() }
