// Command mulberryctl generates keys, signs and publishes configuration bundles,
// shows whether the fleet has accepted them, and traces statements through logs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mulberrysill/mulberrysill/pkg/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
