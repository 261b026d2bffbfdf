// Command sagestand is the router daemon and its operator's tool.
package main

func main() {}
