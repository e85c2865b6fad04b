// Command vanillagrade is every process of the dispatcher in one binary.
package main

func main() {}
