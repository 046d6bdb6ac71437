package engine

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/burdockwood/burdockwood/internal/model/cluster"
)

const promiseFileName = "promise.json"

// promiseRecord is the content of the file with the promised term.
type promiseRecord struct {
	Promised cluster.Term `json:"promised"`
}

// loadPromise reads the promised term; 0 if there is none. Errors: ErrStorage.
func loadPromise(folder string) (cluster.Term, error) {
	data, err := os.ReadFile(filepath.Join(folder, promiseFileName))
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, eris.Wrapf(ErrStorage, "read the promise: %v", err)
	}
	var record promiseRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return 0, eris.Wrapf(ErrStorage, "read the promise: %v", err)
	}
	return record.Promised, nil
}

// storePromise replaces the file with the promised term atomically and returns
// once it is on disk. Errors: ErrStorage.
func storePromise(folder string, term cluster.Term) error {
	data, err := json.Marshal(promiseRecord{Promised: term})
	if err != nil {
		return eris.Wrapf(ErrStorage, "encode the promise: %v", err)
	}
	path := filepath.Join(folder, promiseFileName)
	if err := writeFileSync(path+".new", data); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return eris.Wrapf(ErrStorage, "rename the promise: %v", err)
	}
	return syncFolder(folder)
}

func writeFileSync(path string, data []byte) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrapf(ErrStorage, "create the promise: %v", err)
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return eris.Wrapf(ErrStorage, "write the promise: %v", err)
	}
	if err := file.Sync(); err != nil {
		return eris.Wrapf(ErrStorage, "sync the promise: %v", err)
	}
	return nil
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return eris.Wrapf(ErrStorage, "open the folder: %v", err)
	}
	defer folder.Close()
	if err := folder.Sync(); err != nil {
		return eris.Wrapf(ErrStorage, "sync the folder: %v", err)
	}
	return nil
}
