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

// maxRead bounds how much of a faulty value an error repeats, in bytes.
const maxRead = 80

// ErrNotPointer means that Decode was given something it can't fill.
var ErrNotPointer = errors.New("settings: decode needs a pointer to a struct")

// ErrUnreadable means that the settings file can't be read.
var ErrUnreadable = errors.New("settings: file can't be read")

// Checker is a settings type with checks that tags can't express. Paths are
// relative to the root.
type Checker interface {
	Check() Errors
}

// Load reads a settings file into a pointer to a struct; see Decode.
func Load(path string, into any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return Decode(raw, into)
}

// Has reports whether the settings file, a JSON object, has the field at its root.
func Has(path, field string) (bool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	var root map[string]json.RawMessage
	if err := checkSyntax(raw); err != nil {
		return false, err
	}
	// What is no object has no fields; Decode says what is wrong with it.
	_ = json.Unmarshal(raw, &root)
	_, has := root[field]
	return has, nil
}

// Decode reads JSON into a pointer to a struct. Fields that the JSON leaves
// out keep their value, so that defaults are set beforehand. Every fault is
// listed in Errors: unknown and repeated fields, wrong types and units, broken
// `validate` tags, and what the type's own Check finds.
func Decode(raw []byte, into any) error {
	v := reflect.ValueOf(into)
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
	if errs := validateTags(into); len(errs) > 0 {
		return errs
	}
	if c, ok := into.(Checker); ok {
		return c.Check().orNil()
	}
	return nil
}

// checkSyntax refuses text that is not exactly one JSON value, and names the
// line and the column.
func checkSyntax(raw []byte) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	var one json.RawMessage
	err := dec.Decode(&one)
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
	return Errors{{Path: position(raw, offset), Read: err.Error(), Allowed: "one JSON object"}}
}

// position renders an offset as "line L column C".
func position(raw []byte, offset int64) string {
	before := raw[:min(offset, int64(len(raw)))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Sprintf("line %d column %d", line, column)
}

// decoder fills a value and collects every fault.
type decoder struct{ errs Errors }

func (d *decoder) fail(path, read, allowed string) {
	d.errs = append(d.errs, Error{Path: path, Read: shorten(read), Allowed: allowed})
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
		d.fail(path, "null", "a value, or leave the field out")
		return
	}
	if err := u.UnmarshalJSON(raw); err != nil {
		d.fail(path, string(raw), err.Error())
	}
}

func (d *decoder) scalar(path string, raw json.RawMessage, v reflect.Value) {
	if isNull(raw) || json.Unmarshal(raw, v.Addr().Interface()) != nil {
		d.fail(path, string(raw), kindName(v.Kind()))
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
		d.fail(path, string(raw), "a list")
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
			d.fail(join(path, m.name), "an unknown field", "one of "+names(fields))
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

// members splits a JSON object. A name given twice is a fault: the standard
// decoder would silently take the last one.
func (d *decoder) members(path string, raw json.RawMessage) ([]member, bool) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	first, err := dec.Token()
	if err != nil || first != json.Delim('{') {
		d.fail(path, string(raw), "an object")
		return nil, false
	}
	var out []member
	seen := map[string]bool{}
	for dec.More() {
		token, err := dec.Token()
		name, isName := token.(string)
		m := member{name: name}
		if err != nil || !isName || dec.Decode(&m.raw) != nil {
			d.fail(path, string(raw), "an object")
			return nil, false
		}
		if seen[name] {
			d.fail(join(path, name), "the field twice", "each field once")
			continue
		}
		seen[name] = true
		out = append(out, m)
	}
	return out, true
}

// collectFields lists the fields of a struct by their JSON name; those of an
// embedded struct without a name count as its own.
func collectFields(v reflect.Value, into map[string]reflect.Value) {
	t := v.Type()
	for i := range t.NumField() {
		field := t.Field(i)
		name := jsonName(field)
		if field.Anonymous && name == "" && field.Type.Kind() == reflect.Struct {
			collectFields(v.Field(i), into)
			continue
		}
		if !field.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = field.Name
		}
		into[name] = v.Field(i)
	}
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func names(fields map[string]reflect.Value) string {
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

func shorten(read string) string {
	read = strings.Join(strings.Fields(read), " ")
	if len(read) <= maxRead {
		return read
	}
	return read[:maxRead] + "... (" + strconv.Itoa(len(read)) + " bytes)"
}

// kindName says in words what a JSON field of the kind may hold.
func kindName(k reflect.Kind) string {
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
