package authenticator

import (
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// EnvSharedKey is the environment variable that ReadKey reads if there is no key
// file.
const EnvSharedKey = "GOOSEBERRYPASS_SHARED_KEY"

// maxKeySize is the number of bytes read from a key file; the rest is ignored.
const maxKeySize = 4 << 10

// ErrEmptyKey is returned for a key file that is empty or has only white space.
var ErrEmptyKey = errors.New("shared key file is empty")

// ReadKey reads the shared key from the file at path, without surrounding white
// space. If path is "", it uses the environment variable EnvSharedKey, and returns
// the zero Key if that is not set either.
func ReadKey(path string, getenv func(string) string) (Key, error) {
	if path == "" {
		return NewKey(getenv(EnvSharedKey)), nil
	}
	file, err := os.Open(path) //nolint:gosec // the path comes from the operator
	if err != nil {
		return Key{}, errors.Wrap(err, "read shared key file")
	}
	defer func() { _ = file.Close() }()
	secret, err := io.ReadAll(io.LimitReader(file, maxKeySize))
	if err != nil {
		return Key{}, errors.Wrap(err, "read shared key file")
	}
	trimmed := strings.TrimSpace(string(secret))
	if trimmed == "" {
		return Key{}, errors.Wrap(ErrEmptyKey, path)
	}
	return NewKey(trimmed), nil
}
