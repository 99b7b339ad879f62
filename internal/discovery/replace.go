package discovery

import (
	"errors"
	"os"
	"path/filepath"
)

// partialFilePattern matches the names under which ReplaceFile writes.
const partialFilePattern = ".list-*"

// ReplaceFile writes a file in one step, so that no reader sees a part of it, and returns when it is durable.
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

// removePartialFiles removes what a process that was killed had written in part.
func removePartialFiles(dir string) {
	names, err := filepath.Glob(filepath.Join(dir, partialFilePattern))
	if err != nil {
		return // the pattern is a valid constant
	}
	for _, name := range names {
		os.Remove(name) // a file that cannot be removed does no harm
	}
}
