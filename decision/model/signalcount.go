package model

// SignalCount is a number of equal health signals about one server.
type SignalCount struct {
	Signal HealthSignal
	Count  int
}
