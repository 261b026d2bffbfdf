package sagesettings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// MarkdownPage returns docs/SETTINGS.md, made from the type and the defaults.
func MarkdownPage() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nOne JSON file a node. Made by `sagestand settings page`; `sagestand settings example` prints a\n")
	b.WriteString("complete file and `sagestand settings check FILE` reports every fault at once. Unknown fields are\n")
	b.WriteString("faults. A field left out keeps its default; one without a default must be given.\n\n")
	b.WriteString("| field | default | meaning |\n|---|---|---|\n")
	d := Default()
	rows(&b, "", reflect.ValueOf(d))
	return b.String()
}

// rows writes a line for each field below v.
func rows(b *strings.Builder, path string, v reflect.Value) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := path + f.Tag.Get("json")
		switch f.Type.Kind() {
		case reflect.Struct:
			rows(b, name+".", v.Field(i))
		case reflect.Slice:
			row(b, name, v.Field(i), f.Tag.Get("doc"))
			rows(b, name+"[].", reflect.New(f.Type.Elem()).Elem())
		default:
			row(b, name, v.Field(i), f.Tag.Get("doc"))
		}
	}
}

func row(b *strings.Builder, name string, v reflect.Value, doc string) {
	def := ""
	if !v.IsZero() && v.Kind() != reflect.Slice {
		enc, err := json.Marshal(v.Interface())
		if err == nil {
			def = "`" + string(enc) + "`"
		}
	}
	_, _ = fmt.Fprintf(b, "| `%s` | %s | %s |\n", name, def, doc)
}
