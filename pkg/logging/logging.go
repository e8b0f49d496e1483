// Package logging sets up structured logs with one JSON object per line. Every line
// has the fields instance and zone (the availability zone).
package logging

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// New returns a logger that writes entries of the given level and more severe ones
// to w.
func New(w io.Writer, level, instance, zone string) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "logLevel")
	}
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(parsed)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return l.WithFields(logrus.Fields{"instance": instance, "zone": zone}), nil
}
