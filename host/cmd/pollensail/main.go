// Command pollensail runs an entry host.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"pollensail.dev/host/process"
	"pollensail.dev/host/settings"
	"pollensail.dev/host/telemetry"
	"pollensail.dev/platform"
)

// gcPercent is the growth of the heap, in percent, after which the garbage
// collector runs, unless the environment variable GOGC sets it. A host has a small
// heap and little to do for control, so it trades processor time for memory.
const gcPercent = 50

// memoryLimitPercent is the share of limits.memory, in percent, up to which the Go
// runtime uses memory before it collects more often, unless the environment variable
// GOMEMLIMIT sets it. The runtime does not count the program's code and data, some
// 10 MB, and may exceed its limit for a moment.
const memoryLimitPercent = 85

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	err := command().Execute()
	var settingsErr *settings.Error
	switch {
	case errors.As(err, &settingsErr):
		os.Exit(settings.ExitCodeInvalid)
	case err != nil:
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "pollensail --settings FILE",
		Short: "Serve callers as an entry host of the fleet",
		Long: `Serves callers as configured by the operators' tree of settings until SIGTERM or
SIGINT, which begins a planned stop: requests in flight are completed and slots
are handed over. Another SIGTERM changes nothing; SIGINT during the stop ends the
process at once. SIGHUP reloads the settings file; the log shows which changes need
a restart.`,
		Example:      `  pollensail --settings host-a1.toml`,
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return run(file) },
	}
	cmd.Flags().StringVar(&file, "settings", "", "TOML file with the settings of this process")
	_ = cmd.MarkFlagRequired("settings") // fails only for an unknown flag
	return cmd
}

func run(file string) error {
	// Until a process handles a signal, the signal ends it. The listeners take
	// connections once they are open, so the signals come first.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, stop := shutdownContexts()
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	env, err := newEnvironment(s)
	if err != nil {
		return &settings.Error{File: file, Problem: err.Error()}
	}
	if os.Getenv("GOMEMLIMIT") == "" && s.Limits.Memory > 0 {
		debug.SetMemoryLimit(int64(s.Limits.Memory) / 100 * memoryLimitPercent)
	}
	logger := telemetry.NewLogger(os.Stdout, s.Log.Level)
	defer logger.Close()
	p, err := process.New(s, env, logger)
	if err != nil {
		return &settings.Error{File: file, Problem: err.Error()}
	}
	go reloadOnHangup(ctx, hangup, file, p, &logger.Logger)
	return p.Run(ctx, stop)
}

// reloadOnHangup reloads the settings file at each SIGHUP until ctx ends. If the
// file is invalid, the current settings stay in force.
func reloadOnHangup(ctx context.Context, hangup <-chan os.Signal, file string, p *process.Process, logger *log.Logger) {
	for {
		select {
		case <-hangup:
		case <-ctx.Done():
			return
		}
		s, err := settings.Load(file)
		if err != nil {
			logger.Error().Err(err).Msg("settings cannot be used; those in force stay")
			continue
		}
		p.Reload(s)
	}
}

// newEnvironment returns the adapters to the store, the host list and the wire
// protocols, for the store protocol in the settings.
func newEnvironment(s settings.Settings) (process.Environment, error) {
	if s.Store.Protocol == settings.ProtocolPlatform {
		return platform.NewEnvironment(s)
	}
	return process.DefaultEnvironment(s), nil
}

// shutdownContexts returns two contexts for a two-stage shutdown: stop ends at
// the first SIGTERM or SIGINT, ctx at a SIGINT after that. Further SIGTERMs change
// nothing, because supervisors may repeat them and a planned stop cuts no request.
func shutdownContexts() (ctx, stop context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	stop, beginStop := context.WithCancel(ctx)
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-received
		beginStop()
		for signal := range received {
			if signal == os.Interrupt {
				cancel()
			}
		}
	}()
	return ctx, stop
}
