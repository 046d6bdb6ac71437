// Command measure runs loads and faults against the real components.
package main

func main() {}
