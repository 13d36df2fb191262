package process

import (
	"context"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/host/backend"
	"pollensail.dev/host/control"
	"pollensail.dev/host/frontend"
)

// trafficAdapter extends the front end with CloseTraffic, which ends the serving
// of requests in a planned stop, and with the effects on connections to servers.
type trafficAdapter struct {
	*frontend.Frontend
	transport *backend.Transport
	loop      *control.Loop
}

// Apply implements control.Traffic.
func (t trafficAdapter) Apply(f effect.Effect) {
	switch f := f.(type) {
	case effect.CloseTraffic:
		go t.close()
	case effect.CloseIdle:
		t.transport.CloseIdle(f.Server)
	case effect.SetResponseMemory:
		t.transport.SetResponseMemory(f.Bytes, f.BodyBytes)
	default:
		t.Frontend.Apply(f)
	}
}

// close closes the caller listener and waits for the requests in flight. Each is
// bounded by its own deadline.
func (t trafficAdapter) close() {
	_ = t.Shutdown(context.Background()) // fails only if its context ends
	t.loop.Post(event.TrafficClosed{})
}
