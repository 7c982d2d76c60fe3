package commander

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/packer"
)

const (
	manifestSuffix = ".manifest"
	packBufferSize = 1 << 20 // bytes
	manifestMode   = 0o644
)

// packCmd writes the manifest of a weights file.
type packCmd struct {
	Base      string `help:"Digest of the base model's manifest, for an adapter." placeholder:"DIGEST"`
	ChunkSize int64  `default:"4194304" help:"Chunk size in bytes."`
	Model     string `help:"Model's name at the origin." required:""`
	Output    string `help:"Manifest file; the weights file's name with .manifest if not given." placeholder:"FILE" type:"path"`
	Version   string `help:"Version's name at the origin." name:"model-version" required:""`
	Weights   string `arg:"" help:"Weights file." type:"existingfile"`
}

// Help returns the text that --help adds to the flags.
func (*packCmd) Help() string {
	return `Writes the manifest beside the weights and prints its digest, which goes into
the model's section as the key "manifest".

Example:
  gooseberrypass pack jingle-writer.bin --model jingle-writer --model-version 7`
}

// Run writes the manifest and prints its digest.
func (c *packCmd) Run(std streams) error {
	var base gooseberrypass.Digest
	if err := base.UnmarshalText([]byte(c.Base)); err != nil {
		return errors.Wrap(err, "--base")
	}
	p, err := packer.New(c.ChunkSize)
	if err != nil {
		return errors.Wrap(err, "--chunk-size")
	}
	f, err := os.Open(c.Weights)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	manifest, err := p.Pack(bufio.NewReaderSize(f, packBufferSize), c.Model, c.Version, base)
	if err != nil {
		return errors.Wrap(err, c.Weights)
	}
	output := c.Output
	if output == "" {
		output = c.Weights + manifestSuffix
	}
	if err := replaceFile(output, manifest.Encoded()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(std.stdout, "%s  %s  %d chunks, %d bytes\n", manifest.Digest(), output, manifest.Len(), manifest.Size())
	return err
}

// replaceFile replaces a file atomically: readers see either the old or the new
// content.
func replaceFile(path string, body []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }()
	_, err = f.Write(body)
	if err == nil {
		err = f.Chmod(manifestMode)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, path)
	}
	return os.Rename(f.Name(), path)
}
