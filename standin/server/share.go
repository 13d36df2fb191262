package server

// sampler selects a share of the requests, spread evenly, with an error accumulator
// (error diffusion): with a share of 1/3 it selects every third request. The zero
// value is ready to use.
type sampler struct{ sum float64 }

// sample counts a request and reports whether it is selected.
func (s *sampler) sample(share float64) bool {
	s.sum += share
	// The tolerance allows for rounding: three times 1/3 may sum to less than 1.
	if s.sum < 1-1e-9 {
		return false
	}
	s.sum--
	return true
}

// faultSamplers holds a sampler for each fault that has a share.
type faultSamplers struct{ fail, reset, shed, truncate, cross sampler }
