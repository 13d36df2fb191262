package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
)

// Row is one measure of one policy under one condition, over several seeds.
type Row struct {
	Measure   string    `json:"measure"`
	Site      string    `json:"site"`
	Condition string    `json:"condition"`
	Policy    string    `json:"policy"`
	Unit      string    `json:"unit"`
	Aim       string    `json:"aim"`
	Median    float64   `json:"median"`
	Worst     float64   `json:"worst"`
	Values    []float64 `json:"values"` // by seed; -1: not within the experiment
}

// plan is a row that has not been measured.
type plan struct {
	row     Row
	isWorse func(a, b float64) bool
	measure func(seed uint64) float64
}

func larger(a, b float64) bool { return a == never || b != never && a > b }

func smaller(a, b float64) bool { return a < b }

// Run measures everything for seeds 1 to n and returns the rows in a fixed
// order. Up to parallel experiments run at a time.
func Run(n uint64, parallel int) []Row {
	plans := plans()
	rows := make([]Row, len(plans))
	var wait sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for i, p := range plans {
		rows[i] = p.row
		rows[i].Values = make([]float64, n)
		for seed := range n {
			slots <- struct{}{}
			wait.Go(func() {
				rows[i].Values[seed] = p.measure(seed + 1)
				<-slots
			})
		}
	}
	wait.Wait()
	for i := range rows {
		rows[i].sum(plans[i].isWorse)
	}
	return rows
}

func (r *Row) sum(isWorse func(a, b float64) bool) {
	sorted := slices.Clone(r.Values)
	slices.SortFunc(sorted, func(a, b float64) int {
		switch {
		case isWorse(a, b):
			return 1
		case isWorse(b, a):
			return -1
		}
		return 0
	})
	r.Median = sorted[len(sorted)/2]
	r.Worst = sorted[len(sorted)-1]
}

func plans() []plan {
	var all []plan
	add := func(row Row, isWorse func(a, b float64) bool, measure func(uint64) float64) {
		all = append(all, plan{row, isWorse, measure})
	}
	for _, s := range sites {
		for _, v := range []variant{shipped, everyOne, paper} {
			row := Row{Measure: "detection_time", Site: s.name, Condition: "a server fails a third of its work", Policy: v.name, Unit: "ms", Aim: "2000"}
			add(row, larger, func(seed uint64) float64 { return detectionTime(v, s, seed) })
			row.Measure, row.Unit, row.Aim = "failed_requests", "%", ""
			add(row, larger, func(seed uint64) float64 { return failedShare(v, s, seed) })
		}
		for _, f := range healthyFaults {
			for _, v := range []variant{shipped, everyOne, paper} {
				row := Row{Measure: "false_ejections", Site: s.name, Condition: f.name, Policy: v.name, Unit: "decisions", Aim: "0"}
				add(row, larger, func(seed uint64) float64 { return falseEjections(v, s, seed, f) })
			}
		}
		for _, v := range []variant{shipped, noDetect} {
			row := Row{Measure: "worst_served_account", Site: s.name, Condition: "the largest sends five times its rate", Policy: v.name, Unit: "% goodput", Aim: "99"}
			add(row, smaller, func(seed uint64) float64 { return worstServed(v, s, seed) })
		}
		for _, v := range []variant{shipped, noDetect, paper} {
			row := Row{Measure: "goodput_beside_slow_service", Site: s.name, Condition: "another service hardly answers", Policy: v.name, Unit: "%"}
			add(row, smaller, func(seed uint64) float64 { return besideSlow(v, s, seed) })
		}
		for i, d := range demands {
			for _, v := range []variant{shipped, noDetect} {
				row := Row{Measure: "refused_within_rate", Site: s.name, Condition: d.name, Policy: v.name, Unit: "%", Aim: aimOf(i)}
				add(row, larger, func(seed uint64) float64 { return refusedWithinRate(v, s, seed, d) })
			}
		}
	}
	return all
}

// aimOf returns the aim for refusals under a demand: 0.1 % while nothing
// fails, else 1 %.
func aimOf(demand int) string {
	if demand < 2 {
		return "0.1"
	}
	return "1"
}

// WriteTable writes the rows as a table.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "measure\tsite\tcondition\tpolicy\tmedian\tworst\tunit\taim")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			r.Measure, r.Site, r.Condition, r.Policy, number(r.Median), number(r.Worst), r.Unit, r.Aim)
	}
	return t.Flush()
}

func number(v float64) string {
	if v == never {
		return "never"
	}
	return fmt.Sprintf("%.4g", v)
}

// WriteJSON writes the rows as JSON.
func WriteJSON(w io.Writer, rows []Row) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(rows)
}
