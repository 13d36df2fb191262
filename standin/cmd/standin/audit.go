package main

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"pollensail.dev/standin/caller"
	"pollensail.dev/standin/server"
)

func newAudit() *cobra.Command {
	var files, controls, keys []string
	var once bool
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
	return cmd
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
