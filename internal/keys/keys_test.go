package keys

import (
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func newAuthority(t *testing.T) (folder string) {
	t.Helper()
	folder = filepath.Join(t.TempDir(), "site")
	require.NoError(t, Init(folder, time.Now()))
	return folder
}

func routerRequest() Request {
	return Request{
		Name: "router-1", Role: RoleRouter, Lifetime: time.Hour, Addresses: []netip.Addr{netip.MustParseAddr("10.0.0.7")},
	}
}

func filesOf(folder, name string) Files {
	return Files{
		Authority:   filepath.Join(folder, AuthorityCertificateFile),
		Certificate: filepath.Join(folder, name+".crt"),
		Key:         filepath.Join(folder, name+".key"),
	}
}

// TestFilesAreOverwrittenOnlyOnRequest checks that neither an authority nor a
// certificate is overwritten by default, and that only the owner of a key file
// has access to it.
func TestFilesAreOverwrittenOnlyOnRequest(t *testing.T) {
	folder := newAuthority(t)
	require.ErrorIs(t, Init(folder, time.Now()), ErrExists)
	require.NoError(t, Issue(folder, routerRequest(), time.Now()))
	require.ErrorIs(t, Issue(folder, routerRequest(), time.Now()), ErrExists)
	renewed := routerRequest()
	renewed.Replace = true
	require.NoError(t, Issue(folder, renewed, time.Now()))
	for _, name := range []string{AuthorityKeyFile, "router-1.key"} {
		info, err := os.Stat(filepath.Join(folder, name))
		require.NoError(t, err)
		require.Zero(t, info.Mode().Perm()&0o077, name)
	}
	reloader, err := NewReloader(filesOf(folder, "router-1"), discardLogger())
	require.NoError(t, err)
	require.Equal(t, Identity{Name: "router-1", Role: RoleRouter}, reloader.Current().Identity)
}

// TestUnusableKeysAreRefused starts with files that don't match, are expired or
// missing, and reloads broken files over valid keys, which must stay in use.
func TestUnusableKeysAreRefused(t *testing.T) {
	folder, elsewhere := newAuthority(t), newAuthority(t)
	require.NoError(t, Issue(folder, routerRequest(), time.Now()))
	require.NoError(t, Issue(elsewhere, routerRequest(), time.Now()))
	good, foreign := filesOf(folder, "router-1"), filesOf(elsewhere, "router-1")
	late := routerRequest()
	late.Name = "late"
	require.NoError(t, Issue(folder, late, time.Now().Add(-2*time.Hour)))
	for name, files := range map[string]Files{
		"of another site":     {Authority: good.Authority, Certificate: foreign.Certificate, Key: foreign.Key},
		"key of another":      {Authority: good.Authority, Certificate: good.Certificate, Key: foreign.Key},
		"no authority":        {Authority: good.Key, Certificate: good.Certificate, Key: good.Key},
		"out of date":         filesOf(folder, "late"),
		"file does not exist": {Authority: good.Authority, Certificate: good.Certificate, Key: good.Key + "x"},
	} {
		_, err := NewReloader(files, discardLogger())
		require.Error(t, err, name)
	}

	reloader, err := NewReloader(good, discardLogger())
	require.NoError(t, err)
	before := reloader.Current()
	complete, err := os.ReadFile(good.Certificate)
	require.NoError(t, err)
	for _, broken := range [][]byte{nil, complete[:len(complete)/2]} {
		require.NoError(t, os.WriteFile(good.Certificate, broken, 0o600))
		require.Error(t, reloader.Reload())
		require.Same(t, before, reloader.Current())
	}
	require.NoError(t, os.WriteFile(good.Certificate, complete, 0o600))
	require.NoError(t, reloader.Reload())
}

// TestAuthorityIsReplacedWithoutAStop follows the documented procedure: while the
// authority file holds both authorities, certificates of either are valid.
func TestAuthorityIsReplacedWithoutAStop(t *testing.T) {
	old, renewed := newAuthority(t), newAuthority(t)
	require.NoError(t, Issue(old, routerRequest(), time.Now()))
	require.NoError(t, Issue(renewed, routerRequest(), time.Now()))
	files := filesOf(old, "router-1")
	reloader, err := NewReloader(files, discardLogger())
	require.NoError(t, err)
	first := reloader.Current().Certificate.Leaf.SerialNumber
	copyFile := func(from, to string, also ...string) {
		var text []byte
		for _, path := range append(also, from) {
			part, err := os.ReadFile(path)
			require.NoError(t, err)
			text = append(text, part...)
		}
		require.NoError(t, os.WriteFile(to, text, 0o600))
	}
	next := filesOf(renewed, "router-1")
	copyFile(next.Authority, files.Authority, files.Authority)
	require.NoError(t, reloader.Reload())
	require.Equal(t, first, reloader.Current().Certificate.Leaf.SerialNumber)
	copyFile(next.Key, files.Key)
	require.Error(t, reloader.Reload(), "the old pair stays in use until both files are replaced")
	copyFile(next.Certificate, files.Certificate)
	require.NoError(t, reloader.Reload())
	copyFile(next.Authority, files.Authority)
	require.NoError(t, reloader.Reload())
	require.NotEqual(t, first, reloader.Current().Certificate.Leaf.SerialNumber)
}
