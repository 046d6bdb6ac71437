package runner

import "github.com/rotisserie/eris"

// errWrongServer tells that another server than expected is at an address.
var errWrongServer = eris.New("another backend server answers at this address")
