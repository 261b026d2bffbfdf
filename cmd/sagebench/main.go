// Command sagebench holds the stand-ins, the load generator and the measurements.
package main

import "fmt"

func main() { fmt.Println("path: nothing to check yet") }
