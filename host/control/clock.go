package control

import (
	"golang.org/x/sys/unix"

	"pollensail.dev/decision/model"
)

// sinceBoot returns the time since the machine started. Unlike the monotonic
// clock of package time it includes the time while the machine was suspended,
// because token grants, and the proofs that a configuration is the newest, age
// during that time too.
func sinceBoot() model.Instant {
	var t unix.Timespec
	// The call can fail only if the clock does not exist, and Linux has it since
	// 2.6.39.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return model.Instant(t.Nano())
}
