// Package cases2 runs the scripts of the second review from go test, so that KNOWN-RED.txt can name
// them. They are skipped unless REVIEW is set: each takes about a minute and starts some ten
// processes. The programs have to be built before, as the deploy file and review/build-2.sh do.
package cases2

import (
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
