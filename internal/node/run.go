package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger of JSON lines on standard error.
func NewLogger(level, name string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q", level)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.Sampling = nil
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncoderConfig.TimeKey = "time"
	config.DisableStacktrace = true
	logger, err := config.Build()
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	return logger.With(zap.String("node", name)), nil
}

// StopSignal returns a context that ends at SIGINT or SIGTERM.
func StopSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
