package discovery

import (
	"errors"
	"os"
	"path/filepath"
)

// partialFilePattern matches the names of the temporary files of ReplaceFile.
const partialFilePattern = ".list-*"

// ReplaceFile replaces a file atomically, so that no reader sees a partial one, and returns when it is durable.
func ReplaceFile(path string, text []byte) error {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, partialFilePattern)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return err
	}
	return syncDir(dir)
}

// syncDir makes a rename durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// removePartialFiles removes the temporary files of a process that was killed while it wrote them.
func removePartialFiles(dir string) {
	names, err := filepath.Glob(filepath.Join(dir, partialFilePattern))
	if err != nil {
		return // the pattern is a valid constant
	}
	for _, name := range names {
		os.Remove(name) // ignore errors: a remaining file does no harm
	}
}
