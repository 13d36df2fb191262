package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"pollensail.dev/decision/configuration"
)

// settingsTopic is the help topic that lists the settings of the tree.
func settingsTopic() *cobra.Command {
	return &cobra.Command{
		Use:   "settings",
		Short: "The settings of the tree",
		Long:  settingsText(),
	}
}

func settingsText() string {
	var b strings.Builder
	b.WriteString("The settings of the tree, by the kind of branch that they apply to.\n")
	kinds := []configuration.Kind{
		configuration.KindRoot, configuration.KindAccount, configuration.KindRoute, configuration.KindService,
	}
	for _, kind := range kinds {
		fmt.Fprintf(&b, "\n%s\n", kind)
		for _, s := range configuration.Definitions(kind) {
			fmt.Fprintf(&b, "  %-16s %s%s\n", s.Name, s.Expected, remarks(s))
		}
	}
	return b.String()
}

// remarks returns what else an operator needs to know of a setting.
func remarks(s configuration.Setting) string {
	var remarks []string
	if s.Default != "" {
		remarks = append(remarks, "default "+s.Default)
	}
	if s.Required {
		remarks = append(remarks, "required")
	}
	if s.OwnOnly {
		remarks = append(remarks, "not inherited")
	}
	if len(remarks) == 0 {
		return ""
	}
	return " (" + strings.Join(remarks, ", ") + ")"
}
