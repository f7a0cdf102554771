// Command standin is a small stand-in for the platform, for demos and tests.
package main

func main() {}
