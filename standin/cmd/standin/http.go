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

// retryPeriod is the time between two tries of a request that waits for a
// condition.
const retryPeriod = 20 * time.Millisecond

// condition is what an answer has to meet.
type condition struct {
	status int    // 0: any 2xx
	text   string // in the body
	within time.Duration
}

// newHTTP sends one request, so that scripts need no other program to switch
// faults, and to wait for a condition in place of a fixed time.
func newHTTP() *cobra.Command {
	var want condition
	var headers, trailers []string
	cmd := &cobra.Command{
		Use:   "http METHOD ADDRESS/PATH [BODY]",
		Short: "Send a request and print the answer's body",
		Args:  cobra.RangeArgs(2, 3),
		RunE: func(cmd *cobra.Command, args []string) error {
			body := strings.Join(args[2:], "")
			text, err := want.await(cmd.Context(), func(ctx context.Context) (int, string, error) {
				return exchange(ctx, args[0], "http://"+args[1], headers, trailers, body)
			})
			fmt.Fprint(cmd.OutOrStdout(), text)
			return err
		},
	}
	cmd.Flags().IntVar(&want.status, "status", 0, "expected status; default any 2xx")
	cmd.Flags().StringVar(&want.text, "contains", "", "text that the body has to contain")
	cmd.Flags().DurationVar(&want.within, "within", 0, "try again for this long until the answer is as expected")
	cmd.Flags().StringArrayVar(&headers, "header", nil, `header field "Name: value"`)
	cmd.Flags().StringArrayVar(&trailers, "trailer", nil, `trailer field "Name: value", which makes the body chunked`)
	return cmd
}

func (w condition) await(ctx context.Context, send func(context.Context) (int, string, error)) (string, error) {
	deadline := time.Now().Add(w.within)
	for {
		status, text, err := send(ctx)
		if err == nil && !w.holds(status, text) {
			err = fmt.Errorf("status %d, not as expected", status)
		}
		if err == nil || time.Now().After(deadline) {
			return text, err
		}
		select {
		case <-time.After(retryPeriod):
		case <-ctx.Done():
			return text, ctx.Err()
		}
	}
}

func (w condition) holds(status int, text string) bool {
	if w.status == 0 && status/100 != 2 {
		return false
	}
	return (w.status == 0 || w.status == status) && strings.Contains(text, w.text)
}

func exchange(ctx context.Context, method, url string, headers, trailers []string, body string) (int, string, error) {
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
