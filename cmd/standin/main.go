// Command standin runs the small stand-ins of the platform's store and of an
// upstream as processes of their own, for developers.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/standin/upstream"
)

// announceEvery is how often the upstream announces itself.
const announceEvery = time.Second

// storeCommand serves the stand-in of the platform's store.
type storeCommand struct {
	Listen string `long:"listen" required:"true" description:"IP and port"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of the injected faults"`
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	ctx, stop := untilSignal()
	defer stop()
	s := &http.Server{Addr: c.Listen, Handler: store.New(c.Seed).Handler()}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve the store: %w", err)
	}
	return nil
}

// upstreamCommand serves a stand-in upstream and announces it to its node.
type upstreamCommand struct {
	Listen      string        `long:"listen" required:"true" description:"IP and port"`
	Node        string        `long:"node" required:"true" description:"URL of the node's operator listener"`
	Token       string        `long:"token" required:"true" description:"operator token of the node"`
	Service     string        `long:"service" required:"true" description:"service of the upstream"`
	Version     string        `long:"service-version" required:"true" description:"version of the upstream"`
	Slots       int           `long:"slots" default:"10" description:"requests run at once"`
	Connections int           `long:"connections" default:"100" description:"connections accepted"`
	Work        time.Duration `long:"work" default:"2ms" description:"time that one request takes"`
}

// Execute implements flags.Commander.
func (c *upstreamCommand) Execute([]string) error {
	ctx, stop := untilSignal()
	defer stop()
	u := upstream.New(upstream.Options{
		Service: c.Service, Version: c.Version, Slots: c.Slots, Connections: c.Connections, WorkTime: c.Work,
	})
	if err := u.Start(c.Listen); err != nil {
		return err
	}
	for ctx.Err() == nil {
		if err := u.Announce(ctx, c.Node, c.Token); err != nil {
			fmt.Fprintln(os.Stderr, "standin:", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(announceEvery):
		}
	}
	u.Drain()
	return u.Announce(context.Background(), c.Node, c.Token)
}

func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

func main() {
	p := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddCommand("store", "serve the platform's store", "Serves the stand-in of the platform's key-value store.", &storeCommand{}); err != nil {
		panic(err)
	}
	if _, err := p.AddCommand("upstream", "serve an upstream", "Serves a stand-in upstream and announces it to the node beside it.", &upstreamCommand{}); err != nil {
		panic(err)
	}
	if _, err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
