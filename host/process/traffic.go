package process

import (
	"context"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/host/control"
	"pollensail.dev/host/frontend"
)

// trafficAdapter extends the front end with CloseTraffic, which ends the serving
// of requests in a planned stop.
type trafficAdapter struct {
	*frontend.Frontend
	loop *control.Loop
}

// Apply implements control.Traffic.
func (t trafficAdapter) Apply(f effect.Effect) {
	if _, ok := f.(effect.CloseTraffic); ok {
		go t.close()
		return
	}
	t.Frontend.Apply(f)
}

// close closes the caller listener and waits for the requests in flight. Each is
// bounded by its own deadline.
func (t trafficAdapter) close() {
	_ = t.Shutdown(context.Background()) // fails only if its context ends
	t.loop.Post(event.TrafficClosed{})
}
