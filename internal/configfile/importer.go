package configfile

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/google/go-jsonnet"
)

// importer imports files below a folder only; symbolic links must not lead out of it.
type importer struct {
	root     string // the folder
	mainFile string
	files    map[string]jsonnet.Contents // by absolute path
}

// Import returns the content of a file and its absolute path; it implements jsonnet.Importer.
func (i *importer) Import(from, path string) (jsonnet.Contents, string, error) {
	full, err := i.resolve(from, path)
	if err != nil {
		return jsonnet.Contents{}, "", err
	}
	if contents, known := i.files[full]; known {
		return contents, full, nil
	}
	contents, err := i.read(path, full)
	if err != nil {
		return jsonnet.Contents{}, "", err
	}
	i.files[full] = contents
	return contents, full, nil
}

// resolve returns the absolute path of an import; paths are relative to the importing file.
func (i *importer) resolve(from, path string) (string, error) {
	if filepath.IsAbs(path) {
		return path, nil
	}
	if from == "" {
		from = i.mainFile
	}
	return filepath.Abs(filepath.Join(filepath.Dir(from), path))
}

func (i *importer) read(path, full string) (contents jsonnet.Contents, err error) {
	target, err := filepath.EvalSymlinks(full)
	root, rootErr := filepath.EvalSymlinks(i.root)
	if err != nil || rootErr != nil {
		return contents, fmt.Errorf("there is no file %q", path)
	}
	if !strings.HasPrefix(target, root+string(filepath.Separator)) {
		return contents, fmt.Errorf("%q lies outside the folder of the file", path)
	}
	if len(i.files) >= maxImports {
		return contents, fmt.Errorf("more than %d files are imported", maxImports)
	}
	text, err := readFile(target)
	if err != nil {
		return contents, fmt.Errorf("%q: %w", path, err)
	}
	return jsonnet.MakeContents(string(text)), nil
}
