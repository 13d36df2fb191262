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
	var rate caller.RateLimit
	var after string
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Compare the results that callers got with what backend servers ran",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var calls []caller.CallResult
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
			late, err := auditIdleAfter(after, calls, runs)
			if err != nil {
				return err
			}
			faults = append(faults, late...)
			for _, key := range keys {
				faults = append(faults, caller.FindLeakedKey(key, received)...)
			}
			return printFaults(cmd, len(calls), len(runs), faults)
		},
	}
	cmd.Flags().StringSliceVar(&files, "calls", nil, "files written by the call command")
	cmd.Flags().StringSliceVar(&controls, "control", nil, "control addresses of all backend servers")
	cmd.Flags().StringSliceVar(&keys, "key", nil, "keys that no backend server may have received")
	cmd.Flags().BoolVar(&once, "once", false, "report every business id that ran more than once")
	cmd.Flags().Float64Var(&rate.PerSecond, "rate", 0, "rate of the client account in requests per second, checked over every window of time")
	cmd.Flags().Float64Var(&rate.Burst, "burst", 0, "burst of the client account in requests")
	cmd.Flags().StringVar(&after, "idle-after", "", "time (RFC 3339) after which no call sent later may have run or, without --calls, nothing at all")
	return cmd
}

func auditIdleAfter(text string, calls []caller.CallResult, runs []server.Execution) ([]string, error) {
	if text == "" {
		return nil, nil
	}
	after, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return nil, err
	}
	if len(calls) == 0 {
		return caller.AuditNoRunsAfter(after, runs), nil
	}
	return caller.AuditRevocation(after, calls, runs), nil
}

func printFaults(cmd *cobra.Command, calls, runs int, faults []string) error {
	for _, fault := range faults {
		fmt.Fprintln(cmd.ErrOrStderr(), fault)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%d calls, %d runs, %d faults\n", calls, runs, len(faults))
	if len(faults) > 0 {
		return fmt.Errorf("%d faults", len(faults))
	}
	return nil
}

func fetchLedgers(controls []string) (runs []server.Execution, received []server.ReceivedRequest, err error) {
	for _, control := range controls {
		var r []server.Execution
		if err := getJSON("http://"+control+"/ledger", &r); err != nil {
			return nil, nil, err
		}
		var requests []server.ReceivedRequest
		if err := getJSON("http://"+control+"/received", &requests); err != nil {
			return nil, nil, err
		}
		runs, received = append(runs, r...), append(received, requests...)
	}
	return runs, received, nil
}

func getJSON(url string, into any) error {
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
