// Package sagejson separates the parts of JSON text without decoding them. Package encoding/json decodes a text as a whole and
// refuses it if any part is invalid or nested too deeply.
//
// # Usage
//
//	text, err := sagejson.Read(body)
//	err = sagejson.Fields(text, func(name, value []byte) error { ... })
//	err = sagejson.Elements(value, func(element []byte) error { ... })
//	if sagejson.Valid(element) { ... }
package sagejson
