package process

import (
	"reflect"
	"strings"

	"github.com/phuslu/log"

	"pollensail.dev/host/settings"
)

// Reload puts settings into force that were read while the process runs: the
// level of the log and how a planned stop proceeds. The others are taken at the
// start only; the log names those that changed.
func (p *Process) Reload(s settings.Settings) {
	p.mu.Lock()
	before := p.settings
	p.settings = withReloaded(before, s)
	p.mu.Unlock()
	p.logger.SetLevel(log.ParseLevel(s.Log.Level))
	p.logger.Info().
		Str("changed", strings.Join(changedTables(before, s), " ")).
		Str("need_start", strings.Join(changedTables(withReloaded(before, s), s), " ")).
		Msg("settings reloaded")
}

// withReloaded returns the settings that are in force after a reload.
func withReloaded(before, s settings.Settings) settings.Settings {
	before.Log = s.Log
	before.Stop = s.Stop
	return before
}

// changedTables returns the top-level keys whose values differ.
func changedTables(a, b settings.Settings) []string {
	var changed []string
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			changed = append(changed, x.Type().Field(i).Tag.Get("toml"))
		}
	}
	return changed
}

// stop returns how a planned stop proceeds.
func (p *Process) stop() settings.Stop {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings.Stop
}
