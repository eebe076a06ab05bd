// Package savorylog provides the structured loggers of the programs. A logger
// writes one line of key=value pairs for each event.
package savorylog

import (
	"fmt"
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// New returns a logger that writes events of the given level ("debug", "info",
// "warn" or "error") and above to w. An unknown level is an error.
func New(w io.Writer, level string) (*log.Logger, error) {
	l, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: not debug, info, warn or error", level)
	}
	return &log.Logger{Handler: logfmt.New(w), Level: l}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *log.Logger {
	return &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil }), Level: log.FatalLevel}
}
