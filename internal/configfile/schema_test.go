package configfile

import "testing"

func FuzzRendered(f *testing.F) {
	f.Add([]byte(`{"a": [1, {"b": null}]}`))
	schema := Compile("fuzz.json", `{"type": "object", "properties": {"a": {"type": "string", "pattern": "`+TimePattern+`"}}}`)
	f.Fuzz(func(t *testing.T, text []byte) {
		if file, err := Rendered("none.jsonnet", text); err == nil {
			_ = file.Check(schema)
		}
	})
}
