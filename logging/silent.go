package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Silent returns a logger that writes nothing, for components that have no logger configured.
func Silent() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
