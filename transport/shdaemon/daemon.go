// Package shdaemon composes the roles of one process.
package shdaemon

import (
	"context"
	"errors"
	"log/slog"

	"sequoiahollow/state/shsettings"
)

// Run runs the roles of the settings until ctx ends, then stops gracefully.
func Run(_ context.Context, _ shsettings.Settings, _ *slog.Logger) error {
	return errors.New("not implemented")
}
