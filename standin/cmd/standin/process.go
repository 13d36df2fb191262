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

// process holds the flags that every long-running stand-in has.
type process struct {
	announce string
	lifetime time.Duration
}

func (p *process) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&p.announce, "announce", "",
		"file that gets the addresses, one name=address a line, once all are open")
	cmd.Flags().DurationVar(&p.lifetime, "lifetime", 15*time.Minute,
		"time after which the process ends, so that none is left behind")
}

// run announces the addresses and waits for a signal or the end of the
// lifetime.
func (p *process) run(ctx context.Context, addresses ...string) error {
	text := strings.Join(addresses, "\n") + "\n"
	fmt.Print(text)
	if err := writeWhole(p.announce, text); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.lifetime)
	defer cancel()
	<-ctx.Done()
	return nil
}

// writeWhole writes a file in one step, so that a reader that sees it sees all
// of it.
func writeWhole(file, text string) error {
	if file == "" {
		return nil
	}
	if err := os.WriteFile(file+".tmp", []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(file+".tmp", file)
}

// serve serves a handler at an address and returns the address.
func serve(address string, handler http.Handler) (string, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go http.Serve(socket, handler)
	return socket.Addr().String(), nil
}
