package daemon

import (
	"io"
	"log/slog"

	"github.com/cowslipward/cowslipward/settings"
)

// NewLogger returns a logger that writes one line per event, as key=value text or as JSON. Every line has the
// keys role and vm.
func NewLogger(w io.Writer, s settings.Log, role, vm string) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if s.Format == "json" {
		handler = slog.NewJSONHandler(w, options)
	}
	return slog.New(handler).With("role", role, "vm", vm)
}
