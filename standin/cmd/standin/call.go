package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"pollensail.dev/standin/caller"
)

func newCall() *cobra.Command {
	var config caller.Config
	var file string
	cmd := &cobra.Command{
		Use:   "call",
		Short: "Send requests at a rate and print a summary as JSON",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			calls, unsent, err := caller.Run(cmd.Context(), config)
			if err != nil {
				return err
			}
			if err := writeCalls(file, calls); err != nil {
				return err
			}
			return printJSON(cmd.OutOrStdout(), caller.Summarize(calls, unsent))
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&config.Hosts, "host", nil, "addresses of entry hosts, used round-robin")
	flags.StringVar(&config.Method, "method", "GET", "HTTP method")
	flags.StringVar(&config.Path, "path", "/", "path; the query ?business=ID is appended")
	flags.StringVar(&config.APIKey, "key", "", "API key of the client account")
	flags.StringVar(&config.Body, "body", "", "body of each request")
	flags.Float64Var(&config.RatePerSecond, "rate", 100, "requests per second")
	flags.IntVar(&config.Count, "count", 100, "total number of requests")
	flags.IntVar(&config.Outstanding, "outstanding", 100, "limit on concurrent requests; more are not sent but counted as unsent")
	flags.DurationVar(&config.Timeout, "timeout", time.Second, "timeout of each attempt")
	flags.BoolVar(&config.Idempotent, "idempotent", false, "send an Idempotency-Key header")
	flags.IntVar(&config.Retries, "retries", 0, "how often to retry a request that was not run")
	flags.BoolVar(&config.RetryUnknown, "retry-unknown", false, "also retry requests that may have run")
	flags.StringVar(&file, "calls", "", "file to write each call to as a line of JSON")
	return cmd
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func writeCalls(file string, calls []caller.CallResult) error {
	if file == "" {
		return nil
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	w := bufio.NewWriter(f)
	encoder := json.NewEncoder(w)
	for _, call := range calls {
		if err := encoder.Encode(call); err != nil {
			return err
		}
	}
	return w.Flush()
}

func readCalls(file string) ([]caller.CallResult, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var calls []caller.CallResult
	decoder := json.NewDecoder(f)
	for {
		var call caller.CallResult
		err := decoder.Decode(&call)
		if err == io.EOF {
			return calls, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		calls = append(calls, call)
	}
}
