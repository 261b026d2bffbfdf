// Package sagesettings reads and checks the settings of one node, a JSON file.
//
// Decoding is strict: unknown fields and wrong types are faults. Reading doesn't stop at the first
// fault; [Load] returns all of them in one [FieldErrors], each with the path of its field.
//
// # Usage
//
//	cfg, err := sagesettings.Load("node.json")
//	var faults sagesettings.FieldErrors
//	if errors.As(err, &faults) {
//		for _, f := range faults {
//			fmt.Println(f.Path, f.Problem)
//		}
//	}
package sagesettings
