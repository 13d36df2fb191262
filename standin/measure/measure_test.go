package measure

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAims guards against a policy that misses a target of the design, and
// against an experiment that shows no difference from the baselines. It runs
// one seed; "make measure" runs more.
func TestAims(t *testing.T) {
	const seed = 1
	s := sites[0]
	tests := []struct {
		name  string
		value func(variant) float64
		plain variant
		holds func(float64) bool
	}{
		{"detection within 2 s", func(v variant) float64 { return detectionTime(v, s, seed) }, perHostBreaker,
			func(ms float64) bool { return ms != notDetected && ms <= 2000 }},
		{"no ejection by a one-way cut", func(v variant) float64 { return falseEjections(v, s, seed, systemicFaults[0]) }, perHostBreaker,
			func(n float64) bool { return n == 0 }},
		{"1 % refused beside a replaced host", func(v variant) float64 { return refusedPercent(v, s, seed, refusalScenarios[3]) }, noDetector,
			func(percent float64) bool { return percent < 1 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ours, plain := test.value(shippedVariant), test.value(test.plain)
			t.Logf("%s %v, %s %v", shippedVariant.name, ours, test.plain.name, plain)
			qt.Check(t, test.holds(ours), qt.IsTrue)
			qt.Check(t, test.holds(plain), qt.IsFalse)
		})
	}
}

// TestReport guards against a median or worst value that sorts "never" as the
// small number -1, and against a report without units.
func TestReport(t *testing.T) {
	c := qt.New(t)
	row := Row{Measure: "detection_time", Policy: "p", Unit: "ms", Values: []float64{900, notDetected, 400}}
	row.summarize(largerIsWorse)
	c.Assert(row.Median, qt.Equals, 900.0)
	c.Assert(row.Worst, qt.Equals, float64(notDetected))
	var table, encoded bytes.Buffer
	c.Assert(WriteTable(&table, []Row{row}), qt.IsNil)
	c.Assert(table.String(), qt.Contains, "never")
	c.Assert(table.String(), qt.Contains, "ms")
	c.Assert(WriteJSON(&encoded, []Row{row}), qt.IsNil)
	c.Assert(encoded.String(), qt.Contains, `"worst": -1`)
	c.Assert(Plot(t.TempDir(), []Row{row}), qt.IsNil)
}
