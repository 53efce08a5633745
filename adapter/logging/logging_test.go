package logging_test

import (
	"os"
	"strings"

	"fieldvale/adapter/logging"
)

// cutTime leaves out the time, which differs from run to run.
type cutTime struct{}

func (cutTime) Write(b []byte) (int, error) {
	_, s, _ := strings.Cut(string(b), " ")
	return os.Stdout.WriteString(s)
}

func ExampleNew() {
	l, err := logging.New(cutTime{}, "info", logging.Fields("process", "fieldvale-entry"))
	if err != nil {
		return
	}
	l.WithFields(logging.Fields("request", "r-1", "error", `dial: "refused"`)).Warn("attempt_failed")
	l.Debug("not_shown")
	// Output: level=warn event=attempt_failed error="dial: \"refused\"" process=fieldvale-entry request=r-1
}
