package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
)

// Row is the result of one measure for one policy under one condition, over
// several seeds. Aim is the value to reach; it is empty where there is none.
type Row struct {
	Measure   string    `json:"measure"`
	Site      string    `json:"site"`
	Condition string    `json:"condition"`
	Policy    string    `json:"policy"`
	Unit      string    `json:"unit"`
	Aim       string    `json:"aim"`
	Median    float64   `json:"median"`
	Worst     float64   `json:"worst"`
	Values    []float64 `json:"values"` // by seed; notDetected (-1) where a faulty server is not detected
}

// experiment is a row without results and the function that measures it.
type experiment struct {
	row     Row
	isWorse func(a, b float64) bool
	measure func(seed uint64) float64
}

func largerIsWorse(a, b float64) bool { return a == notDetected || b != notDetected && a > b }

func smallerIsWorse(a, b float64) bool { return a < b }

// Run runs every experiment with the seeds 1 to n and returns the rows in a
// fixed order. At most parallel experiments run concurrently.
func Run(n uint64, parallel int) []Row {
	experiments := experiments()
	rows := make([]Row, len(experiments))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, parallel)
	for i, e := range experiments {
		rows[i] = e.row
		rows[i].Values = make([]float64, n)
		for seed := range n {
			semaphore <- struct{}{}
			wg.Go(func() {
				rows[i].Values[seed] = e.measure(seed + 1)
				<-semaphore
			})
		}
	}
	wg.Wait()
	for i := range rows {
		rows[i].summarize(experiments[i].isWorse)
	}
	return rows
}

func (r *Row) summarize(isWorse func(a, b float64) bool) {
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

func experiments() []experiment {
	var all []experiment
	add := func(row Row, isWorse func(a, b float64) bool, measure func(uint64) float64) {
		all = append(all, experiment{row, isWorse, measure})
	}
	for _, s := range sites {
		for _, v := range []variant{shippedVariant, perHostDetector, perHostBreaker} {
			row := Row{Measure: "detection_time", Site: s.name, Condition: "a server fails a third of its work", Policy: v.name, Unit: "ms", Aim: "2000"}
			add(row, largerIsWorse, func(seed uint64) float64 { return detectionTime(v, s, seed) })
			row.Measure, row.Unit, row.Aim = "failed_requests", "%", ""
			add(row, largerIsWorse, func(seed uint64) float64 { return failedPercent(v, s, seed) })
		}
		for _, f := range systemicFaults {
			for _, v := range []variant{shippedVariant, perHostDetector, perHostBreaker} {
				row := Row{Measure: "false_ejections", Site: s.name, Condition: f.name, Policy: v.name, Unit: "decisions", Aim: "0"}
				add(row, largerIsWorse, func(seed uint64) float64 { return falseEjections(v, s, seed, f) })
			}
		}
		for _, v := range []variant{shippedVariant, noDetector} {
			row := Row{Measure: "worst_served_account", Site: s.name, Condition: "the largest sends five times its rate", Policy: v.name, Unit: "% goodput", Aim: "99"}
			add(row, smallerIsWorse, func(seed uint64) float64 { return worstGoodput(v, s, seed) })
		}
		for _, v := range []variant{shippedVariant, noDetector, perHostBreaker} {
			row := Row{Measure: "goodput_beside_slow_service", Site: s.name, Condition: "another service hardly answers", Policy: v.name, Unit: "%"}
			add(row, smallerIsWorse, func(seed uint64) float64 { return goodputBesideSlow(v, s, seed) })
		}
		for i, scenario := range refusalScenarios {
			for _, v := range []variant{shippedVariant, noDetector} {
				row := Row{Measure: "refused_within_rate", Site: s.name, Condition: scenario.name, Policy: v.name, Unit: "%", Aim: refusalAim(i)}
				add(row, largerIsWorse, func(seed uint64) float64 { return refusedPercent(v, s, seed, scenario) })
			}
		}
	}
	return all
}

// refusalAim returns the highest acceptable share of refused requests, in percent,
// for a scenario by its index: 0.1 % while nothing fails, otherwise 1 %.
func refusalAim(scenario int) string {
	if scenario < 2 {
		return "0.1"
	}
	return "1"
}

// WriteTable writes the rows as a table of plain text.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "measure\tsite\tcondition\tpolicy\tmedian\tworst\tunit\taim")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n",
			r.Measure, r.Site, r.Condition, r.Policy, formatValue(r.Median), formatValue(r.Worst), r.Unit, r.Aim)
	}
	return t.Flush()
}

func formatValue(v float64) string {
	if v == notDetected {
		return "never"
	}
	return fmt.Sprintf("%.4g", v)
}

// WriteJSON writes the rows as an indented JSON array.
func WriteJSON(w io.Writer, rows []Row) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(rows)
}
