package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"pollensail.dev/standin/caller"
	"pollensail.dev/standin/server"
)

func newAudit() *cobra.Command {
	var files, controls, keys []string
	var once bool
	var rate caller.Rate
	var after string
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Compare what callers were told with what backend servers ran",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var calls []caller.Call
			for _, file := range files {
				more, err := readCalls(file)
				if err != nil {
					return err
				}
				calls = append(calls, more...)
			}
			runs, received, err := fetchLedgers(controls)
			if err != nil {
				return err
			}
			faults := caller.Audit(calls, runs, once)
			faults = append(faults, caller.AuditRate(calls, runs, rate)...)
			late, err := runsAfter(after, calls, runs)
			if err != nil {
				return err
			}
			faults = append(faults, late...)
			for _, key := range keys {
				faults = append(faults, caller.FindKey(key, received)...)
			}
			return report(cmd, len(calls), len(runs), faults)
		},
	}
	cmd.Flags().StringSliceVar(&files, "calls", nil, "files written by call")
	cmd.Flags().StringSliceVar(&controls, "control", nil, "control addresses of all backend servers")
	cmd.Flags().StringSliceVar(&keys, "key", nil, "keys that no backend server may have seen")
	cmd.Flags().BoolVar(&once, "once", false, "no business id may have run twice")
	cmd.Flags().Float64Var(&rate.PerSecond, "rate", 0, "rate of the calls' client account, checked in every window")
	cmd.Flags().Float64Var(&rate.Burst, "burst", 0, "burst of the calls' client account")
	cmd.Flags().StringVar(&after, "idle-after", "", "time (RFC 3339) after which nothing may have run: no call sent later or, without --calls, nothing at all")
	return cmd
}

func runsAfter(text string, calls []caller.Call, runs []server.Run) ([]string, error) {
	if text == "" {
		return nil, nil
	}
	after, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return nil, err
	}
	if len(calls) == 0 {
		return caller.AuditIdle(after, runs), nil
	}
	return caller.AuditWithdrawn(after, calls, runs), nil
}

func report(cmd *cobra.Command, calls, runs int, faults []string) error {
	for _, fault := range faults {
		fmt.Fprintln(cmd.ErrOrStderr(), fault)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%d calls, %d runs, %d faults\n", calls, runs, len(faults))
	if len(faults) > 0 {
		return fmt.Errorf("%d faults", len(faults))
	}
	return nil
}

func fetchLedgers(controls []string) (runs []server.Run, received []server.Received, err error) {
	for _, control := range controls {
		var r []server.Run
		if err := fetch("http://"+control+"/ledger", &r); err != nil {
			return nil, nil, err
		}
		var in []server.Received
		if err := fetch("http://"+control+"/received", &in); err != nil {
			return nil, nil, err
		}
		runs, received = append(runs, r...), append(received, in...)
	}
	return runs, received, nil
}

func fetch(url string, into any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
