package docwalk

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	fencedBlock = regexp.MustCompile("(?ms)^\\s*```.*?^\\s*```\\s*$")
	inlineCode  = regexp.MustCompile("`[^`\n]*`")
	link        = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading     = regexp.MustCompile(`(?m)^#{1,6} +(.+?) *$`)
	notInAnchor = regexp.MustCompile(`[^\p{L}\p{N} _-]`)
)

// TestLinksResolve follows every relative link, and its anchor if it has one.
func TestLinksResolve(t *testing.T) {
	followed := 0
	for _, path := range pages(t) {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		for _, match := range link.FindAllStringSubmatch(prose(string(text)), -1) {
			if strings.Contains(match[1], "://") || strings.HasPrefix(match[1], "mailto:") {
				continue
			}
			followed++
			target, anchor, _ := strings.Cut(match[1], "#")
			file := path
			if target != "" {
				file = filepath.Join(filepath.Dir(path), target)
			}
			info, err := os.Stat(file)
			if !assert.NoError(t, err, "%s links to %s", path, match[1]) || anchor == "" || info.IsDir() {
				continue
			}
			linked, err := os.ReadFile(file)
			require.NoError(t, err)
			assert.Contains(t, anchors(string(linked)), anchor, "%s links to %s", path, match[1])
		}
	}
	require.Greater(t, followed, 10)
}

// prose returns a page without code, in which brackets are no links.
func prose(text string) string {
	return inlineCode.ReplaceAllString(fencedBlock.ReplaceAllString(text, ""), "")
}

// anchors returns the anchors of a page's headings, as forges make them.
func anchors(text string) []string {
	var found []string
	for _, match := range heading.FindAllStringSubmatch(fencedBlock.ReplaceAllString(text, ""), -1) {
		name := strings.ToLower(strings.ReplaceAll(match[1], "`", ""))
		found = append(found, strings.ReplaceAll(notInAnchor.ReplaceAllString(name, ""), " ", "-"))
	}
	return found
}
