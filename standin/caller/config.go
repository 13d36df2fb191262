package caller

import (
	"errors"
	"time"
)

// Config is the configuration of a run.
type Config struct {
	Hosts         []string      // "ip:port", used round-robin
	Method        string        // default GET
	Path          string        // each request adds ?business=ID
	APIKey        string        // API key of the client account; empty sends none
	Body          string        // of each request
	RatePerSecond float64       // requests per second
	Count         int           // total requests
	Outstanding   int           // maximum requests in flight; more are counted as unsent
	Timeout       time.Duration // of each try, sent in Pollensail-Timeout
	// Idempotent sends an Idempotency-Key, a UUIDv7 that is the same for all tries
	// of a request.
	Idempotent bool
	// Retries is how many times a request that was not run is sent again, each
	// time to the next host.
	Retries int
	// RetryUnknown also retries a request that may have run.
	RetryUnknown bool
}

// The limits of a run.
const (
	MaxCount       = 10_000_000
	MaxRate        = 100_000
	MaxOutstanding = 10_000
)

func (c Config) validate() error {
	switch {
	case len(c.Hosts) == 0:
		return errors.New("hosts: expected at least one")
	case c.Count < 1 || c.Count > MaxCount:
		return errors.New("count: expected 1 to 10000000")
	case c.RatePerSecond <= 0 || c.RatePerSecond > MaxRate:
		return errors.New("rate: expected more than 0 and at most 100000 requests per second")
	case c.Outstanding < 1 || c.Outstanding > MaxOutstanding:
		return errors.New("outstanding: expected 1 to 10000")
	case c.Timeout <= 0:
		return errors.New("timeout: expected a positive duration")
	}
	return nil
}
