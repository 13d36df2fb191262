package caller

import (
	"errors"
	"time"
)

// Config says what a caller sends.
type Config struct {
	Hosts       []string      // "ip:port", used in turn
	Method      string        // default GET
	Path        string        // each request adds ?business=ID
	Key         string        // of the client account; empty sends none
	Body        string        // of each request
	Rate        float64       // requests a second
	Count       int           // requests in all
	Outstanding int           // requests at a time; more are counted as unsent
	Timeout     time.Duration // of each try, told to the fleet
	// Idempotent sends an Idempotency-Key, a UUIDv7, the same for all tries.
	Idempotent bool
	// Retries is how often a request that was not run is sent again, to the
	// next host.
	Retries int
	// RetryUnknown sends a request again too when it may have run.
	RetryUnknown bool
}

// The bounds of a caller.
const (
	MaxCount       = 10_000_000
	MaxRate        = 100_000
	MaxOutstanding = 10_000
)

func (c Config) check() error {
	switch {
	case len(c.Hosts) == 0:
		return errors.New("no hosts")
	case c.Count < 1 || c.Count > MaxCount:
		return errors.New("count: expected 1 to 10000000")
	case c.Rate <= 0 || c.Rate > MaxRate:
		return errors.New("rate: expected up to 100000 a second")
	case c.Outstanding < 1 || c.Outstanding > MaxOutstanding:
		return errors.New("outstanding: expected 1 to 10000")
	case c.Timeout <= 0:
		return errors.New("timeout: expected a positive duration")
	}
	return nil
}
