// Command rig plays the scripted cases of the review against the programs of the
// deploy file. It starts three control nodes and two proxies as processes on loopback
// addresses, and plays the platform, one group of backend servers, the operator and the
// callers itself.
//
// # Usage
//
//	target/rig CASE RECORD
//
// CASE is the name of a case, RECORD the file that what was sent, answered and run is
// written to. The working directory is the root of the repository. With TROUBLE=0 in the
// environment the case runs without its disruption. The exit status is 1 if the rule was
// broken, 0 if it held and 2 if the case couldn't run.
package main
