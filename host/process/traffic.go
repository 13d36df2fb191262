package process

import (
	"context"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/host/control"
	"pollensail.dev/host/frontend"
)

// traffic is the front end with the end of a planned stop.
type traffic struct {
	*frontend.Frontend
	loop *control.Loop
}

// Apply implements control.Traffic.
func (t traffic) Apply(f effect.Effect) {
	if _, ok := f.(effect.CloseTraffic); ok {
		go t.close()
		return
	}
	t.Frontend.Apply(f)
}

// close waits for the requests in flight. Each ends by its own deadline.
func (t traffic) close() {
	_ = t.Shutdown(context.Background()) // fails only with its context
	t.loop.Post(event.TrafficClosed{})
}
