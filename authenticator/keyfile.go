package authenticator

import (
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// EnvSharedKey is the environment variable that may hold the shared key.
const EnvSharedKey = "GOOSEBERRYPASS_SHARED_KEY"

// maxKeySize bounds a key file, in bytes.
const maxKeySize = 4 << 10

// ErrEmptyKey is returned for a key file with nothing in it.
var ErrEmptyKey = errors.New("the shared key file is empty")

// ReadKey reads the shared key from the file at path. If path is "", it takes
// the key from the environment, and none if that has none either.
func ReadKey(path string, getenv func(string) string) (Key, error) {
	if path == "" {
		return NewKey(getenv(EnvSharedKey)), nil
	}
	file, err := os.Open(path) //nolint:gosec // the operator names the file
	if err != nil {
		return Key{}, errors.Wrap(err, "read the shared key")
	}
	defer func() { _ = file.Close() }()
	secret, err := io.ReadAll(io.LimitReader(file, maxKeySize))
	if err != nil {
		return Key{}, errors.Wrap(err, "read the shared key")
	}
	trimmed := strings.TrimSpace(string(secret))
	if trimmed == "" {
		return Key{}, errors.Wrap(ErrEmptyKey, path)
	}
	return NewKey(trimmed), nil
}
