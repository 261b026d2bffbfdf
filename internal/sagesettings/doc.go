// Package sagesettings reads and validates the JSON settings file of a node.
//
// Decoding is strict: unknown fields and values of the wrong type are errors. Instead of stopping at the first error,
// [Load] returns all of them as [FieldErrors], each with the path of its field.
//
// # Usage
//
//	cfg, err := sagesettings.Load("node.json")
//	var fieldErrs sagesettings.FieldErrors
//	if errors.As(err, &fieldErrs) {
//		for _, f := range fieldErrs {
//			fmt.Println(f.Path, f.Problem)
//		}
//	}
package sagesettings
