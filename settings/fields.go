package settings

import (
	"encoding/json"
	"reflect"
)

// Field is one field of a settings type, for the reference documentation.
type Field struct {
	// Path is the path of the field from the root, such as "listen.callers".
	Path string
	// Value is the field's value as JSON.
	Value string
}

// Fields returns the fields of a struct in the order of declaration, with nested structs
// flattened.
func Fields(settings any) []Field {
	v := reflect.ValueOf(settings)
	for v.Kind() == reflect.Pointer {
		v = v.Elem()
	}
	return appendFields(nil, "", v)
}

func appendFields(fields []Field, path string, v reflect.Value) []Field {
	t := v.Type()
	for i := range t.NumField() {
		field := t.Field(i)
		name := jsonName(field)
		if !field.IsExported() || name == "" || name == "-" {
			continue
		}
		fieldPath := join(path, name)
		if _, custom := v.Field(i).Interface().(json.Marshaler); field.Type.Kind() == reflect.Struct && !custom {
			fields = appendFields(fields, fieldPath, v.Field(i))
			continue
		}
		raw, err := json.Marshal(v.Field(i).Interface())
		if err != nil {
			raw = []byte(err.Error())
		}
		fields = append(fields, Field{Path: fieldPath, Value: string(raw)})
	}
	return fields
}
