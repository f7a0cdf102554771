// Command daisylug is the command line for callers and operators.
package main

func main() {}
