package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// daemon holds the flags of every command that runs until it is stopped.
type daemon struct {
	announce string
	lifetime time.Duration
}

func (d *daemon) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&d.announce, "announce", "",
		"file to write the addresses to, one name=address per line, once all are open")
	cmd.Flags().DurationVar(&d.lifetime, "lifetime", 15*time.Minute,
		"time after which the process exits, so that none is left running")
}

// run prints the addresses, writes them to the announce file, and waits for a
// signal or the end of the lifetime.
func (d *daemon) run(ctx context.Context, addresses ...string) error {
	text := strings.Join(addresses, "\n") + "\n"
	fmt.Print(text)
	if err := writeAtomic(d.announce, text); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, d.lifetime)
	defer cancel()
	<-ctx.Done()
	return nil
}

// writeAtomic writes a file atomically through a rename, so that no reader sees
// a part of it.
func writeAtomic(file, text string) error {
	if file == "" {
		return nil
	}
	if err := os.WriteFile(file+".tmp", []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(file+".tmp", file)
}

// serve starts an HTTP server at an address and returns the address with the
// port that it got.
func serve(address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go http.Serve(listener, handler)
	return listener.Addr().String(), nil
}
