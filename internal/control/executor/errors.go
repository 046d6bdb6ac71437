package executor

import "github.com/rotisserie/eris"

var (
	// errWrongServer tells that another server than expected is at an
	// address.
	errWrongServer = eris.New("another backend server answers at this address")
	// errLostDisk tells that a server lacks the promise it once made.
	errLostDisk = eris.New("the backend server has lost its promise")
)
