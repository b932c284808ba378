// Package cases2 plays the cases of the second review from go test, so that KNOWN-RED.txt can name
// them. They are skipped unless REVIEW is set: each takes a minute or more and starts some ten
// processes. The programs have to be built before, as the deploy file and review/build-2.sh do.
package cases2

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestPopularRequestIsServedAfterItsServersCrashed guards against a harmless request that is
// refused for good because its servers crashed while they ran it (case 4).
func TestPopularRequestIsServedAfterItsServersCrashed(t *testing.T) { play(t, "4") }

// TestRestartOfAllServesSuspectedRequests guards against trials that killed routers held and that
// the directory counts as under way (case 5).
func TestRestartOfAllServesSuspectedRequests(t *testing.T) { play(t, "5") }

// TestDirectoriesStayBelowTheirMemory guards against directories that end for lack of memory when a
// grown configuration changes (case 6). BENCH is the path of the bench and SITE that of the site file
// of atacama-search.
func TestDirectoriesStayBelowTheirMemory(t *testing.T) {
	bench, site := os.Getenv("BENCH"), os.Getenv("SITE")
	if os.Getenv("REVIEW") == "" || bench == "" || site == "" {
		t.Skip("REVIEW=1 BENCH=PATH SITE=PATH plays the day of the review")
	}
	path := filepath.Join(t.TempDir(), "report.json")
	command := exec.Command(bench, "run", site, filepath.Join("review", "6", "day.toml"), "--seed", "1", "--report", path)
	command.Dir = filepath.Join("..", "..")
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("the day was not played: %v\n%s", err, output)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var report struct {
		Fault *string `json:"fault"`
		Exits int     `json:"exits_n"`
	}
	if err := json.Unmarshal(text, &report); err != nil {
		t.Fatal(err)
	}
	if report.Fault != nil {
		t.Fatalf("%d processes ended by themselves: %s", report.Exits, *report.Fault)
	}
}

func play(t *testing.T, number string) {
	if os.Getenv("REVIEW") == "" {
		t.Skip("REVIEW=1 plays the cases of the review")
	}
	output, err := exec.Command(filepath.Join("..", number, "run.sh")).CombinedOutput()
	t.Logf("%s", output)
	if err != nil {
		t.Fatalf("case %s: %v", number, err)
	}
}
