package decision

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

// TestVersionLag guards against a lag that is counted from a version that the host has in
// force already, or that is lost while versions are skipped.
func TestVersionLag(t *testing.T) {
	at := func(ms int) model.Instant { return model.Instant(time.Duration(ms) * time.Millisecond) }
	var l versionLag
	l.learn(2, at(100))
	l.learn(3, at(150))
	l.learn(3, at(160))
	l.learn(5, at(400))
	qt.Check(t, l.current(at(500)), qt.Equals, 400*time.Millisecond)
	qt.Check(t, l.advance(4, at(600)), qt.Equals, 500*time.Millisecond)
	qt.Check(t, l.current(at(600)), qt.Equals, 200*time.Millisecond)
	qt.Check(t, l.advance(4, at(700)), qt.Equals, time.Duration(0))
	l.forget(5) // rejected
	qt.Check(t, l.current(at(800)), qt.Equals, time.Duration(0))
	qt.Check(t, l.longest, qt.Equals, 500*time.Millisecond)
	for i := range 2 * maxLearnedVersions {
		l.learn(uint64(10+i), at(1000+i))
	}
	qt.Check(t, l.current(at(2000)), qt.Equals, time.Second)
}
