package process

import (
	"reflect"
	"strings"

	"github.com/phuslu/log"

	"pollensail.dev/host/settings"
)

// Reload applies settings that were read again while the process runs: those of
// the log and of the planned stop. All others apply only at startup; those that
// changed are logged as "need_start".
func (p *Process) Reload(read settings.Settings) {
	p.mu.Lock()
	current := p.settings
	p.settings = withReloaded(current, read)
	p.mu.Unlock()
	p.logger.SetLevel(log.ParseLevel(read.Log.Level))
	p.logger.Info().
		Str("changed", strings.Join(changedKeys(current, read), " ")).
		Str("need_start", strings.Join(changedKeys(withReloaded(current, read), read), " ")).
		Msg("settings reloaded")
}

// withReloaded returns current with the reloadable settings replaced.
func withReloaded(current, read settings.Settings) settings.Settings {
	current.Log = read.Log
	current.Stop = read.Stop
	return current
}

// changedKeys returns the top-level TOML keys whose values differ.
func changedKeys(a, b settings.Settings) []string {
	var changed []string
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			changed = append(changed, x.Type().Field(i).Tag.Get("toml"))
		}
	}
	return changed
}

// stopSettings returns the settings of the planned stop in force.
func (p *Process) stopSettings() settings.Stop {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings.Stop
}
