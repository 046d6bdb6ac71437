package executor

import "github.com/rotisserie/eris"

var (
	// errWrongServer is returned if another server than the expected one
	// answers at an address.
	errWrongServer = eris.New("another backend server answers at this address")
	// errLostDisk is returned if a server has promised a lower term than it
	// must have.
	errLostDisk = eris.New("the backend server has lost its disk: it no longer has the term that it promised")
)
