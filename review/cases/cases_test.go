// Package cases runs the scripts of the review from go test, so that KNOWN-RED.txt can name them.
// They are skipped unless REVIEW is set: each takes up to 90 s and starts some ten processes.
package cases

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestRoutersSurviveRequestsPastTheirDeadline guards against routers that end when a gathered
// request arrives past its deadline (case 1).
func TestRoutersSurviveRequestsPastTheirDeadline(t *testing.T) { play(t, "1") }

// TestSecondCopyOfARefusalProvesNothing guards against a request that may not be repeated and runs
// twice, because a late copy of a refusal is taken for the answer to the next try (case 2).
func TestSecondCopyOfARefusalProvesNothing(t *testing.T) { play(t, "2") }

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
