// Command standin is a backend server for tests and measurements.
package main

func main() {}
