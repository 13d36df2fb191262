package control

import (
	"golang.org/x/sys/unix"

	"pollensail.dev/decision/model"
)

// sinceBoot returns the time since the machine started. Unlike the monotonic
// clock of package time it also counts the time while the machine was
// suspended, in which grants and proofs grow old as well.
func sinceBoot() model.Instant {
	var t unix.Timespec
	// The clock exists since Linux 2.6.39, and the call has no other error.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return model.Instant(t.Nano())
}
