package server

// share spreads a share evenly: with 1/3, every third request is taken. The
// zero value is ready.
type share struct{ sum float64 }

// take adds a request and reports whether it belongs to the share.
func (s *share) take(part float64) bool {
	s.sum += part
	// The tolerance keeps three times one third from staying below 1.
	if s.sum < 1-1e-9 {
		return false
	}
	s.sum--
	return true
}

// shares holds one share for each fault.
type shares struct{ fail, reset, shed, truncate, cross share }
