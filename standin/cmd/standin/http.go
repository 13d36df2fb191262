package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// retryInterval is the time between the retries of a request whose response is not
// as expected.
const retryInterval = 20 * time.Millisecond

// expectation is what a response has to match.
type expectation struct {
	status int           // 0 accepts any 2xx
	text   string        // substring of the body
	within time.Duration // how long to retry
}

// newHTTP returns the command that sends a request and retries it until the
// response is as expected. With it, scripts can set faults without another
// program, and wait for a condition rather than for a fixed time.
func newHTTP() *cobra.Command {
	var want expectation
	var headers, trailers []string
	cmd := &cobra.Command{
		Use:   "http METHOD ADDRESS/PATH [BODY]",
		Short: "Send a request and print the body of the response",
		Args:  cobra.RangeArgs(2, 3),
		RunE: func(cmd *cobra.Command, args []string) error {
			body := strings.Join(args[2:], "")
			text, err := want.retry(cmd.Context(), func(ctx context.Context) (int, string, error) {
				return sendRequest(ctx, args[0], "http://"+args[1], headers, trailers, body)
			})
			fmt.Fprint(cmd.OutOrStdout(), text)
			return err
		},
	}
	cmd.Flags().IntVar(&want.status, "status", 0, "expected status; by default any 2xx")
	cmd.Flags().StringVar(&want.text, "contains", "", "text that the body must contain")
	cmd.Flags().DurationVar(&want.within, "within", 0, "how long to retry until the response is as expected")
	cmd.Flags().StringArrayVar(&headers, "header", nil, `header field "Name: value"`)
	cmd.Flags().StringArrayVar(&trailers, "trailer", nil, `trailer field "Name: value"; makes the body chunked`)
	return cmd
}

func (e expectation) retry(ctx context.Context, send func(context.Context) (int, string, error)) (string, error) {
	deadline := time.Now().Add(e.within)
	for {
		status, text, err := send(ctx)
		if err == nil && !e.matches(status, text) {
			err = fmt.Errorf("unexpected response with status %d", status)
		}
		if err == nil || time.Now().After(deadline) {
			return text, err
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return text, ctx.Err()
		}
	}
}

func (e expectation) matches(status int, text string) bool {
	if e.status == 0 && status/100 != 2 {
		return false
	}
	return (e.status == 0 || e.status == status) && strings.Contains(text, e.text)
}

func sendRequest(ctx context.Context, method, url string, headers, trailers []string, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	addFields(req.Header, headers)
	if len(trailers) > 0 {
		req.ContentLength = -1
		req.Trailer = make(http.Header)
		addFields(req.Trailer, trailers)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

func addFields(to http.Header, fields []string) {
	for _, field := range fields {
		name, value, _ := strings.Cut(field, ":")
		to.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
}
