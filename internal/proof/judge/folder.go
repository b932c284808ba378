package judge

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/proof/recordfile"
	"github.com/martenstage/martenstage/internal/records"
)

const (
	// partitionBytes is how much of the requests' records is judged at a time.
	partitionBytes = 256 << 20
	maxPartitions  = 256
)

// Folder judges the record files of a run. Records of requests are divided by
// the hash of the request id and judged part after part, so that memory does
// not grow with the length of the run.
func (j *Judge) Folder(folder string) error {
	if err := j.addWholeRun(folder); err != nil {
		return err
	}
	backends, err := recordfile.Files(folder, recordfile.PrefixBackends)
	if err != nil {
		return err
	}
	answers, err := recordfile.Files(folder, recordfile.PrefixAnswers)
	if err != nil {
		return err
	}
	if len(backends) == 0 || len(answers) == 0 {
		return errors.Newf("folder %s: no %s*%s or no %s*%s", folder, recordfile.PrefixBackends, recordfile.Suffix, recordfile.PrefixAnswers, recordfile.Suffix)
	}
	parts, err := partitionsFor(append(backends, answers...))
	if err != nil {
		return err
	}
	if parts == 1 {
		return j.judgePartition(backends, answers)
	}
	return j.judgeDivided(backends, answers, parts)
}

// addWholeRun adds the records that requests are judged against.
func (j *Judge) addWholeRun(folder string) error {
	return errors.Join(
		recordfile.EachIn(folder, recordfile.PrefixStops, j.AddPlannedStop),
		recordfile.EachIn(folder, recordfile.PrefixOperators, j.AddOperatorAnswer),
		recordfile.EachIn(folder, recordfile.PrefixAdmissions, j.AddAdmission),
		recordfile.EachIn(folder, recordfile.PrefixBackends, func(line records.BackendLine) {
			if line.Departure != nil {
				j.AddDeparture(*line.Departure)
			}
		}),
	)
}

func (j *Judge) judgePartition(backends, answers []string) error {
	for _, path := range backends {
		err := recordfile.Each(path, func(line records.BackendLine) {
			if line.Execution != nil {
				j.AddExecution(*line.Execution)
			}
		})
		if err != nil {
			return err
		}
	}
	for _, path := range answers {
		if err := recordfile.Each(path, j.AddAnswer); err != nil {
			return err
		}
	}
	j.CloseRequests()
	return nil
}

// judgeDivided writes the records of requests into parts on disk, each of which
// fits into memory, and judges them in turn.
func (j *Judge) judgeDivided(backends, answers []string, parts int) error {
	folder, err := os.MkdirTemp("", "martenbench-judge-")
	if err != nil {
		return errors.Wrap(err, "folder for parts")
	}
	defer os.RemoveAll(folder)
	divide := func(paths []string, prefix string) ([]string, error) {
		return divideFiles(paths, filepath.Join(folder, prefix), parts)
	}
	backendParts, err := divide(backends, recordfile.PrefixBackends)
	if err != nil {
		return err
	}
	answerParts, err := divide(answers, recordfile.PrefixAnswers)
	if err != nil {
		return err
	}
	for index := range parts {
		if err := j.judgePartition(backendParts[index:index+1], answerParts[index:index+1]); err != nil {
			return err
		}
	}
	return nil
}

// divideFiles copies every line to the part that its request id hashes to.
func divideFiles(paths []string, target string, parts int) ([]string, error) {
	names := make([]string, parts)
	writers := make([]*bufio.Writer, parts)
	for index := range parts {
		names[index] = target + "-" + string(rune('a'+index/26)) + string(rune('a'+index%26)) + recordfile.Suffix
		file, err := os.Create(names[index])
		if err != nil {
			return nil, errors.Wrap(err, "part")
		}
		defer file.Close()
		writers[index] = bufio.NewWriter(file)
	}
	for _, path := range paths {
		err := recordfile.EachRaw(path, func(line []byte) error {
			request, err := requestOf(line)
			if err != nil {
				return err
			}
			_, err = writers[xxhash.Sum64String(request)%uint64(parts)].Write(line)
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	for _, writer := range writers {
		if err := writer.Flush(); err != nil {
			return nil, errors.Wrap(err, "part")
		}
	}
	return names, nil
}

// requestOf reads the request id of either kind of line.
func requestOf(line []byte) (string, error) {
	var fields struct {
		Request   string `json:"request"`
		Execution *struct {
			Request string `json:"request"`
		} `json:"execution"`
	}
	if err := json.Unmarshal(line, &fields); err != nil {
		return "", errors.Wrap(err, "record")
	}
	if fields.Execution != nil {
		return fields.Execution.Request, nil
	}
	return fields.Request, nil
}

func partitionsFor(paths []string) (int, error) {
	var total int64
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return 0, errors.Wrap(err, "record file")
		}
		total += info.Size()
	}
	return int(min(total/partitionBytes+1, maxPartitions)), nil
}
