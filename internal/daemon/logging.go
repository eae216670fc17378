package daemon

import (
	"flag"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"

	"github.com/go-kratos/kratos/v2/log"
	"k8s.io/klog/v2"

	"github.com/laburnumrack/laburnumrack/internal/settings"
)

// SetUpLogging configures klog to write to standard error with the format and verbosity
// of the settings, and forwards the log of kratos to klog. It returns an error if klog
// rejects the verbosity.
func SetUpLogging(s *settings.Serve) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(s.LogVerbosity)); err != nil {
		return fmt.Errorf("set the log verbosity: %w", err)
	}
	if s.LogFormat == settings.LogJSON {
		level := slog.Level(-s.LogVerbosity)
		klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	}
	log.SetLogger(kratosLogger{})
	return nil
}

// kratosLogger implements the logger of kratos by writing to klog.
type kratosLogger struct{}

// Log writes one line. Levels below warning appear only with verbosity 1 or higher.
func (kratosLogger) Log(level log.Level, keyvals ...any) error {
	var line strings.Builder
	for i := 0; i+1 < len(keyvals); i += 2 {
		fmt.Fprintf(&line, " %v=%v", keyvals[i], keyvals[i+1])
	}
	switch {
	case level >= log.LevelError:
		klog.Errorf("kratos:%s", line.String())
	case level == log.LevelWarn:
		klog.Warningf("kratos:%s", line.String())
	default:
		klog.V(1).Infof("kratos:%s", line.String())
	}
	return nil
}
