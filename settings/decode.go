package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"sort"
	"strconv"
	"strings"
)

// maxQuotedBytes is the maximum length of a quoted input value in an error, in bytes.
const maxQuotedBytes = 80

// ErrNotPointer means that the target of Decode is not a pointer to a struct.
var ErrNotPointer = errors.New("settings: decode needs a pointer to a struct")

// ErrReadFile means that reading the settings file failed.
var ErrReadFile = errors.New("settings: file can't be read")

// Checker is implemented by settings types with constraints that `validate` tags can't
// express. The paths in the errors are relative to the root.
type Checker interface {
	Check() Errors
}

// Load decodes a settings file into a pointer to a struct; see Decode.
func Load(path string, target any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrReadFile, err)
	}
	return Decode(raw, target)
}

// HasField reports whether the JSON object in the settings file has the field at its root.
func HasField(path, field string) (bool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrReadFile, err)
	}
	var root map[string]json.RawMessage
	if err := checkSyntax(raw); err != nil {
		return false, err
	}
	// A value that is not an object has no fields; Decode reports that error.
	_ = json.Unmarshal(raw, &root)
	_, has := root[field]
	return has, nil
}

// Decode decodes JSON into a pointer to a struct. Fields missing from the JSON keep
// their value, so defaults can be set beforehand. Errors lists all errors of the first
// step that finds any: syntax; unknown and repeated fields, wrong types and missing
// units; violated `validate` tags; errors from the type's Check.
func Decode(raw []byte, target any) error {
	v := reflect.ValueOf(target)
	if v.Kind() != reflect.Pointer || v.IsNil() || v.Elem().Kind() != reflect.Struct {
		return ErrNotPointer
	}
	if err := checkSyntax(raw); err != nil {
		return err
	}
	d := &decoder{}
	d.value("", raw, v.Elem())
	if len(d.errs) > 0 {
		return d.errs
	}
	if errs := validateTags(target); len(errs) > 0 {
		return errs
	}
	if c, ok := target.(Checker); ok {
		return c.Check().orNil()
	}
	return nil
}

// checkSyntax rejects text that is not exactly one JSON value. The error contains the
// line and the column.
func checkSyntax(raw []byte) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	var value json.RawMessage
	err := dec.Decode(&value)
	if err == nil {
		_, err = dec.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("text after the end of the JSON value")
	}
	offset := dec.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	return Errors{{Path: position(raw, offset), Found: err.Error(), Allowed: "one JSON object"}}
}

// position formats an offset as "line L column C".
func position(raw []byte, offset int64) string {
	before := raw[:min(offset, int64(len(raw)))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Sprintf("line %d column %d", line, column)
}

// decoder decodes a value and collects all errors.
type decoder struct{ errs Errors }

func (d *decoder) addError(path, read, allowed string) {
	d.errs = append(d.errs, Error{Path: path, Found: truncate(read), Allowed: allowed})
}

// value decodes one JSON value into v.
func (d *decoder) value(path string, raw json.RawMessage, v reflect.Value) {
	if u, ok := v.Addr().Interface().(json.Unmarshaler); ok {
		d.custom(path, raw, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.object(path, raw, v)
	case reflect.Slice:
		d.list(path, raw, v)
	case reflect.Map:
		d.mapping(path, raw, v)
	case reflect.Pointer:
		d.pointer(path, raw, v)
	default:
		d.scalar(path, raw, v)
	}
}

func (d *decoder) custom(path string, raw json.RawMessage, u json.Unmarshaler) {
	if isNull(raw) {
		d.addError(path, "null", "a value, or leave the field out")
		return
	}
	if err := u.UnmarshalJSON(raw); err != nil {
		d.addError(path, string(raw), err.Error())
	}
}

func (d *decoder) scalar(path string, raw json.RawMessage, v reflect.Value) {
	if isNull(raw) || json.Unmarshal(raw, v.Addr().Interface()) != nil {
		d.addError(path, string(raw), validValues(v.Kind()))
	}
}

func (d *decoder) pointer(path string, raw json.RawMessage, v reflect.Value) {
	if v.IsNil() {
		v.Set(reflect.New(v.Type().Elem()))
	}
	d.value(path, raw, v.Elem())
}

func (d *decoder) list(path string, raw json.RawMessage, v reflect.Value) {
	var items []json.RawMessage
	if isNull(raw) || json.Unmarshal(raw, &items) != nil {
		d.addError(path, string(raw), "a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(items), len(items))
	for i, item := range items {
		d.value(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
	v.Set(out)
}

func (d *decoder) mapping(path string, raw json.RawMessage, v reflect.Value) {
	members, ok := d.members(path, raw)
	if !ok {
		return
	}
	out := reflect.MakeMap(v.Type())
	for _, m := range members {
		item := reflect.New(v.Type().Elem()).Elem()
		d.value(join(path, m.name), m.raw, item)
		out.SetMapIndex(reflect.ValueOf(m.name).Convert(v.Type().Key()), item)
	}
	v.Set(out)
}

func (d *decoder) object(path string, raw json.RawMessage, v reflect.Value) {
	members, ok := d.members(path, raw)
	if !ok {
		return
	}
	fields := map[string]reflect.Value{}
	collectFields(v, fields)
	for _, m := range members {
		field, known := fields[m.name]
		if !known {
			d.addError(join(path, m.name), "an unknown field", "one of "+joinNames(fields))
			continue
		}
		d.value(join(path, m.name), m.raw, field)
	}
}

// member is one name and value of a JSON object.
type member struct {
	name string
	raw  json.RawMessage
}

// members returns the members of a JSON object. A repeated name is an error: the standard
// decoder would silently use the last value.
func (d *decoder) members(path string, raw json.RawMessage) ([]member, bool) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	first, err := dec.Token()
	if err != nil || first != json.Delim('{') {
		d.addError(path, string(raw), "an object")
		return nil, false
	}
	var out []member
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		name, isName := token.(string)
		m := member{name: name}
		if err != nil || !isName || dec.Decode(&m.raw) != nil {
			d.addError(path, string(raw), "an object")
			return nil, false
		}
		if seen[name] {
			d.addError(join(path, name), "the field twice", "each field once")
			continue
		}
		seen[name] = true
		out = append(out, m)
	}
	return out, true
}

// collectFields maps the JSON names of a struct's fields to the fields. Fields of an
// embedded struct without a JSON name are included as the struct's own.
func collectFields(v reflect.Value, fields map[string]reflect.Value) {
	t := v.Type()
	for i := range t.NumField() {
		field := t.Field(i)
		name := jsonName(field)
		if field.Anonymous && name == "" && field.Type.Kind() == reflect.Struct {
			collectFields(v.Field(i), fields)
			continue
		}
		if !field.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = field.Name
		}
		fields[name] = v.Field(i)
	}
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func joinNames(fields map[string]reflect.Value) string {
	all := make([]string, 0, len(fields))
	for name := range fields {
		all = append(all, name)
	}
	sort.Strings(all)
	return strings.Join(all, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func isNull(raw json.RawMessage) bool { return string(bytes.TrimSpace(raw)) == "null" }

func truncate(read string) string {
	read = strings.Join(strings.Fields(read), " ")
	if len(read) <= maxQuotedBytes {
		return read
	}
	return read[:maxQuotedBytes] + "... (" + strconv.Itoa(len(read)) + " bytes)"
}

// validValues describes the JSON values that are valid for the kind.
func validValues(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0"
	default:
		return "a whole number"
	}
}
