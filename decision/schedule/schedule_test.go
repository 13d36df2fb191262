package schedule

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

// TestPopOrder guards against a key that becomes due early, late or twice.
func TestPopOrder(t *testing.T) {
	c := qt.New(t)
	s := New[string]()
	s.Set("a", 30)
	s.Set("b", 10)
	s.Set("c", 20)
	s.Set("a", 5)
	s.Cancel("c")
	c.Assert(s.Next(), qt.Equals, model.Instant(5))
	_, ok := s.Pop(4)
	c.Assert(ok, qt.IsFalse)
	first, _ := s.Pop(50)
	second, _ := s.Pop(50)
	_, more := s.Pop(50)
	c.Assert([]string{first, second}, qt.DeepEquals, []string{"a", "b"})
	c.Assert(more, qt.IsFalse)
	c.Assert(s.Next(), qt.Equals, model.Never)
}
