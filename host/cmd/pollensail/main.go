// Command pollensail is the process of an entry host.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"pollensail.dev/host/process"
	"pollensail.dev/host/settings"
	"pollensail.dev/host/telemetry"
	"pollensail.dev/platform"
)

func main() {
	err := command().Execute()
	var broken *settings.Error
	switch {
	case errors.As(err, &broken):
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
		Long: `Serves callers by the operators' tree of settings until SIGTERM or SIGINT,
which begins a planned stop: requests in flight are finished and slots are
handed over. A second signal ends the process at once. SIGHUP reads the settings
again; the log says which changes need a new start.`,
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
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	around, err := environment(s)
	if err != nil {
		return &settings.Error{File: file, Problem: err.Error()}
	}
	logger := telemetry.NewLogger(os.Stdout, s.Log.Level)
	defer logger.Close()
	p, err := process.New(s, around, logger)
	if err != nil {
		return &settings.Error{File: file, Problem: err.Error()}
	}
	ctx, stop := signals()
	go reloadOnHangup(ctx, file, p, &logger.Logger)
	return p.Run(ctx, stop)
}

// reloadOnHangup reads the settings again at each SIGHUP. Settings that cannot
// be used change nothing.
func reloadOnHangup(ctx context.Context, file string, p *process.Process, logger *log.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
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

// environment returns what surrounds the host by the protocol of its settings.
func environment(s settings.Settings) (process.Environment, error) {
	if s.Store.Protocol == settings.ProtocolPlatform {
		return platform.New(s)
	}
	return process.Own(s), nil
}

// signals returns a context that ends with the second signal and one that ends
// with the first.
func signals() (ctx, stop context.Context) {
	ctx, end := context.WithCancel(context.Background())
	stop, begin := context.WithCancel(ctx)
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-received
		begin()
		<-received
		end()
	}()
	return ctx, stop
}
