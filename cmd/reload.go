package cmd

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/platform"
	"fuchsiapick.example/fuchsiapick/settings"
)

// settingsPollInterval is how often the modification time of the settings file is checked. The
// file may change without a signal, and an edit must take effect within seconds.
const settingsPollInterval = time.Second

// reloader applies edits of the settings file while the node runs. It applies the log
// level and the policy, and logs that other edits need a restart. A file with faults
// changes nothing.
type reloader struct {
	path         string
	inForce      *settings.Settings
	log          *logrus.Logger
	tableBuilder *platform.TableBuilder // nil if the node has none
	// modTime is the file's modification time at the last check.
	modTime time.Time
}

// runGuarded is run that goes on after a panic: a settings file must not end the node.
func (r *reloader) runGuarded(ctx context.Context, hangups <-chan os.Signal, panics *logging.Panics) {
	for ctx.Err() == nil {
		func() {
			defer panics.Recover(node.PartCommand)
			r.run(ctx, hangups)
		}()
		select {
		case <-ctx.Done():
		case <-time.After(settingsPollInterval):
		}
	}
}

// run reloads the settings on SIGHUP, which arrives on hangups, and when the file changes, until
// the context ends.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	r.fileChanged()
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.fileChanged()
			r.reload("signal")
		case <-ticker.C:
			if r.fileChanged() {
				r.reload("file changed")
			}
		}
	}
}

// fileChanged reports whether the file's modification time differs from that of the last
// check.
func (r *reloader) fileChanged() bool {
	info, err := os.Stat(r.path)
	if err != nil {
		r.log.WithError(err).Debug("settings file not checked; the next check is at the next poll")
		return false
	}
	previous := r.modTime
	r.modTime = info.ModTime()
	return !previous.Equal(r.modTime)
}

func (r *reloader) reload(cause string) {
	log := r.log.WithFields(logrus.Fields{"settings": r.path, "cause": cause})
	next, err := settings.Load(r.path)
	if err != nil {
		log.WithError(err).Error("settings rejected; those in force stay")
		return
	}
	r.apply(next)
	fixed := *next
	fixed.Log, fixed.Policy = r.inForce.Log, r.inForce.Policy
	if !reflect.DeepEqual(fixed, *r.inForce) {
		log.Warn("some changed settings are in force only after a restart")
	}
	r.inForce.Log, r.inForce.Policy = next.Log, next.Policy
	log.Info("settings reloaded")
}

// apply puts into force the settings that can change while the node runs.
func (r *reloader) apply(next *settings.Settings) {
	if level, err := logrus.ParseLevel(next.Log); err == nil { // settings.Load accepts known levels only
		r.log.SetLevel(level)
	}
	if r.tableBuilder != nil {
		r.tableBuilder.SetPolicy(policyDefaults(&next.Policy))
	}
}
