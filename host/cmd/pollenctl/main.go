// Command pollenctl is the operators' tool.
package main

func main() {}
