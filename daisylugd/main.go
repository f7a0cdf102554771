// Command daisylugd is the entry daemon of daisylug.
package main

func main() {}
