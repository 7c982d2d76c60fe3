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
	manifestSuffix  = ".manifest"
	packReadAhead   = 1 << 20 // bytes
	manifestFileMod = 0o644
)

// A packCmd makes the manifest of a weights file.
type packCmd struct {
	Base      string `help:"Digest of the base model's manifest, for an adapter." placeholder:"DIGEST"`
	ChunkSize int64  `default:"4194304" help:"Chunk size in bytes."`
	Model     string `help:"Model's name at the origin." required:""`
	Output    string `help:"Manifest file; the weights file's name with .manifest if not given." placeholder:"FILE" type:"path"`
	Version   string `help:"Version's name at the origin." name:"model-version" required:""`
	Weights   string `arg:"" help:"Weights file." type:"existingfile"`
}

// Help implements kong.HelpProvider.
func (*packCmd) Help() string {
	return `Writes the manifest beside the weights and prints its digest, which goes into
the model's section as the key "manifest".

Example:
  gooseberrypass pack jingle-writer.bin --model jingle-writer --model-version 7`
}

// Run packs the weights.
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
	manifest, err := p.Pack(bufio.NewReaderSize(f, packReadAhead), c.Model, c.Version, base)
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

// replaceFile writes a file so that a reader sees either all of it or what was
// there before.
func replaceFile(path string, body []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }()
	_, err = f.Write(body)
	if err == nil {
		err = f.Chmod(manifestFileMod)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, path)
	}
	return os.Rename(f.Name(), path)
}
