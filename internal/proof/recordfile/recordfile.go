// Package recordfile reads the record files that a run leaves behind. Every
// file holds JSON lines and is named PREFIX*.jsonl.
package recordfile

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Prefixes of the record files in the folder of a run.
const (
	PrefixBackends   = "backends"   // records.BackendLine
	PrefixAnswers    = "answers"    // records.CallerAnswer
	PrefixStops      = "stops"      // records.PlannedStop
	PrefixOperators  = "operators"  // records.OperatorAnswer
	PrefixAdmissions = "admissions" // records.Admission
)

// Suffix ends the names of record files.
const Suffix = ".jsonl"

const lineBuffer = 1 << 20 // bytes

// Files returns the paths of the record files with a prefix, sorted.
func Files(folder, prefix string) ([]string, error) {
	return filepath.Glob(filepath.Join(folder, prefix+"*"+Suffix))
}

// EachIn calls take for every record of the files with a prefix.
func EachIn[T any](folder, prefix string, take func(T)) error {
	paths, err := Files(folder, prefix)
	if err != nil {
		return err
	}
	for _, path := range paths {
		if err := Each(path, take); err != nil {
			return err
		}
	}
	return nil
}

// Each calls take for every record of a file.
func Each[T any](path string, take func(T)) error {
	return EachRaw(path, func(line []byte) error {
		var record T
		if err := json.Unmarshal(line, &record); err != nil {
			return errors.Wrapf(err, "%s: malformed record", path)
		}
		take(record)
		return nil
	})
}

// EachRaw calls take for every whole line. A last line without its end was
// being written when the process ended, and is left out.
func EachRaw(path string, take func(line []byte) error) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "record file")
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, lineBuffer)
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "%s", path)
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		if err := take(line); err != nil {
			return err
		}
	}
}
