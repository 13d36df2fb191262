package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"pollensail.dev/decision/configuration"
)

// settingsHelpTopic returns the help topic that lists the settings of the tree.
func settingsHelpTopic() *cobra.Command {
	return &cobra.Command{
		Use:   "settings",
		Short: "The settings of the tree",
		Long:  settingsText(),
	}
}

func settingsText() string {
	var b strings.Builder
	b.WriteString("The settings of the tree, grouped by the kind of branch they apply to.\n")
	kinds := []configuration.Kind{
		configuration.KindRoot, configuration.KindAccount, configuration.KindRoute, configuration.KindService,
	}
	for _, kind := range kinds {
		fmt.Fprintf(&b, "\n%s\n", kind)
		for _, s := range configuration.Definitions(kind) {
			fmt.Fprintf(&b, "  %-16s %s%s\n", s.Name, s.Expected, settingNotes(s))
		}
	}
	return b.String()
}

// settingNotes returns the default of a setting, whether it is required and
// whether it is inherited.
func settingNotes(s configuration.Setting) string {
	var notes []string
	if s.Default != "" {
		notes = append(notes, "default "+s.Default)
	}
	if s.Required {
		notes = append(notes, "required")
	}
	if s.OwnOnly {
		notes = append(notes, "not inherited")
	}
	if len(notes) == 0 {
		return ""
	}
	return " (" + strings.Join(notes, ", ") + ")"
}
