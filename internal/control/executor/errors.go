package executor

import "github.com/rotisserie/eris"

var (
	// errWrongServer is returned if another server than the expected one
	// answers at an address.
	errWrongServer = eris.New("another backend server answers at this address")
	// errLostDisk is returned if the highest term that a server has promised
	// is lower than one that it is known to have promised before.
	errLostDisk = eris.New("the backend server has lost its disk: it no longer has the term that it promised")
)
