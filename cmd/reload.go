package cmd

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/platform"
	"fuchsiapick.example/fuchsiapick/settings"
)

// settingsPollInterval is how often the settings file is looked at: it may change
// without a signal, and an edit is to be in force within seconds.
const settingsPollInterval = time.Second

// reloader puts edits of the settings file in force while the node runs: the log
// level and the policy. Other edits need a restart, and it says so. A file that
// is not accepted changes nothing.
type reloader struct {
	path         string
	inForce      *settings.Settings
	log          *logrus.Logger
	tableBuilder *platform.TableBuilder // nil without one
	// modTime is the file's time of change when it was read last.
	modTime time.Time
}

// run watches signals and the file until the context ends. Without a handler of
// its own, the signal would end the process and cut every request in flight.
func (r *reloader) run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
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

// fileChanged reports whether the file was written since it was looked at last.
func (r *reloader) fileChanged() bool {
	info, err := os.Stat(r.path)
	if err != nil {
		r.log.WithError(err).Debug("settings not looked at")
		return false
	}
	before := r.modTime
	r.modTime = info.ModTime()
	return !before.Equal(r.modTime)
}

func (r *reloader) reload(cause string) {
	log := r.log.WithFields(logrus.Fields{"settings": r.path, "cause": cause})
	next, err := settings.Load(r.path)
	if err != nil {
		log.WithError(err).Error("settings rejected; those in force stay")
		return
	}
	r.adopt(next)
	fixed := *next
	fixed.Log, fixed.Policy = r.inForce.Log, r.inForce.Policy
	if !reflect.DeepEqual(fixed, *r.inForce) {
		log.Warn("some changed settings are in force only after a restart")
	}
	r.inForce.Log, r.inForce.Policy = next.Log, next.Policy
	log.Info("settings reloaded")
}

// adopt puts in force what can be changed while the node runs.
func (r *reloader) adopt(next *settings.Settings) {
	if level, err := logrus.ParseLevel(next.Log); err == nil { // the check allows known levels only
		r.log.SetLevel(level)
	}
	if r.tableBuilder != nil {
		r.tableBuilder.SetPolicy(policyOf(&next.Policy))
	}
}
