package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/go-playground/validator/v10"
)

// sharedValidator returns the shared validator: it caches the metadata of each struct type.
var sharedValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		if name := jsonName(f); name != "" && name != "-" {
			return name
		}
		return f.Name
	})
	v.RegisterCustomTypeFunc(durationValue, Duration(0))
	v.RegisterCustomTypeFunc(addressValue, Address{})
	return v
})

func durationValue(v reflect.Value) any { return time.Duration(v.Int()) }

func addressValue(v reflect.Value) any {
	a, ok := v.Interface().(Address)
	if !ok || !a.IsValid() {
		return ""
	}
	return a.String()
}

// validateTags checks a struct against its `validate` tags.
func validateTags(target any) Errors {
	err := sharedValidator().Struct(target)
	if err == nil {
		return nil
	}
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return Errors{{Found: err.Error(), Allowed: "a struct with valid tags"}}
	}
	out := make(Errors, 0, len(violations))
	for _, f := range violations {
		out = append(out, Error{Path: relative(f.Namespace()), Found: readValue(f), Allowed: allowed(f)})
	}
	return out
}

// relative removes the name of the root type from the validator's path.
func relative(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return path
}

func readValue(f validator.FieldError) string {
	if strings.HasPrefix(f.Tag(), "required") {
		return ""
	}
	if s, ok := f.Value().(string); ok {
		return truncate(fmt.Sprintf("%q", s))
	}
	return truncate(fmt.Sprint(f.Value()))
}

// allowed describes the valid values according to the violated tag.
func allowed(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "a value (required)"
	case "min", "gte":
		return "at least " + f.Param() + unit(f)
	case "max", "lte":
		return "at most " + f.Param() + unit(f)
	case "gt":
		return "more than " + f.Param() + unit(f)
	case "lt":
		return "less than " + f.Param() + unit(f)
	case "len":
		return "exactly " + f.Param() + unit(f)
	case "oneof":
		return "one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	case "gtefield":
		return "at least the value of " + f.Param()
	case "ltefield":
		return "at most the value of " + f.Param()
	case "excluded_with":
		return "nothing beside " + strings.ToLower(f.Param())
	case "unique":
		return "each entry once"
	default:
		if f.Param() == "" {
			return f.Tag()
		}
		return f.Tag() + " " + f.Param()
	}
}

// unit returns the unit of a limit: characters for strings, entries for lists and maps.
func unit(f validator.FieldError) string {
	switch f.Kind() {
	case reflect.String:
		return " characters"
	case reflect.Slice, reflect.Map:
		return " entries"
	default:
		return ""
	}
}
