package main

import (
	"encoding/json"
	"fmt"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/host/operate"
)

// resultJSON is the JSON form of an accepted edit.
type resultJSON struct {
	Version    uint64       `json:"version"`
	Changes    []changeJSON `json:"changes"`
	MergedWith []uint64     `json:"merged_with,omitempty"`
}

type changeJSON struct {
	Kind    configuration.ChangeKind `json:"kind"`
	Branch  string                   `json:"branch"`
	Setting string                   `json:"setting,omitempty"`
	Old     string                   `json:"old,omitempty"`
	New     string                   `json:"new,omitempty"`
}

func (t *tool) isJSON() bool { return t.output == outputJSON }

func (t *tool) printJSON(v any) error {
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func (t *tool) printf(format string, args ...any) {
	fmt.Fprintf(t.out, format, args...)
}

func changesJSON(changes []configuration.Change) []changeJSON {
	list := make([]changeJSON, 0, len(changes))
	for _, c := range changes {
		list = append(list, changeJSON{c.Kind, string(c.Branch), c.Setting, c.Old, c.New})
	}
	return list
}

func (t *tool) printChanges(changes []configuration.Change) {
	for _, c := range changes {
		t.printf("%s\n", c)
	}
}

func (t *tool) printResult(r operate.Result) error {
	if t.isJSON() {
		return t.printJSON(resultJSON{r.Version, changesJSON(r.Changes), r.MergedWith})
	}
	t.printChanges(r.Changes)
	if len(r.MergedWith) > 0 {
		t.printf("merged with versions %v\n", r.MergedWith)
	}
	if len(r.Changes) == 0 {
		t.printf("no change, version %d\n", r.Version)
		return nil
	}
	t.printf("version %d\n", r.Version)
	return nil
}
