// Package sagecli provides what the command lines of the programs share: exit codes, the one-line error
// on stderr, and output as text or JSON.
//
// # Usage
//
//	func main() { os.Exit(sagecli.Main(command())) }
//
// A command wraps its error in one of the errors of this package to select the exit code, and prints
// through [Output].
package sagecli
