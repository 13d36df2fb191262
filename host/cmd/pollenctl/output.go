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

func (c *cli) isJSON() bool { return c.output == outputJSON }

func (c *cli) printJSON(v any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func (c *cli) printf(format string, args ...any) {
	fmt.Fprintf(c.out, format, args...)
}

func changesJSON(changes []configuration.Change) []changeJSON {
	list := make([]changeJSON, 0, len(changes))
	for _, change := range changes {
		list = append(list, changeJSON{change.Kind, string(change.Branch), change.Setting, change.Old, change.New})
	}
	return list
}

func (c *cli) printChanges(changes []configuration.Change) {
	for _, change := range changes {
		c.printf("%s\n", change)
	}
}

func (c *cli) printResult(r operate.Result) error {
	if c.isJSON() {
		return c.printJSON(resultJSON{r.Version, changesJSON(r.Changes), r.MergedWith})
	}
	c.printChanges(r.Changes)
	if len(r.MergedWith) > 0 {
		c.printf("merged with versions %v\n", r.MergedWith)
	}
	if len(r.Changes) == 0 {
		c.printf("no change, version %d\n", r.Version)
		return nil
	}
	c.printf("version %d\n", r.Version)
	return nil
}
