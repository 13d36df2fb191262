// Command pollensail is the process of an entry host.
package main

func main() {}
