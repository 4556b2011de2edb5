package shdocument

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Check compares v with the JSON form of T and reports every unknown field and
// every wrong type, up to maxMistakes. Field names are compared exactly. If nulls is set, null
// members of objects are accepted, which mean removals in a merge patch.
// T may hold structs, maps with string keys, slices, strings, booleans and
// numbers.
func Check[T any](v *Value, nulls bool) Problems {
	c := checker{nulls: nulls}
	c.check("", v, reflect.TypeFor[T]())
	return c.problems
}

// Decode converts v to T. Values of the wrong type are left out, and the error
// is about the first of them; Check reports them all.
func Decode[T any](v *Value) (T, error) {
	var decoded T
	data, err := json.Marshal(v)
	if err != nil {
		return decoded, err
	}
	err = json.Unmarshal(data, &decoded)
	return decoded, err
}

// Encode converts a Go value to a Value without file and line.
func Encode(x any) (*Value, error) {
	data, err := json.Marshal(x)
	if err != nil {
		return nil, err
	}
	v, problems := Parse("", data)
	if len(problems) > 0 {
		return nil, problems
	}
	return v, nil
}

type checker struct {
	nulls    bool
	problems Problems
}

func (c *checker) check(path string, v *Value, t reflect.Type) {
	switch t.Kind() {
	case reflect.Struct:
		c.checkStruct(path, v, t)
	case reflect.Map:
		c.checkMap(path, v, t)
	case reflect.Slice:
		c.checkList(path, v, t)
	default:
		c.checkScalar(path, v, t)
	}
}

func (c *checker) checkStruct(path string, v *Value, t reflect.Type) {
	if !v.IsObject() {
		c.mismatch(path, v, "an object")
		return
	}
	fields := fieldTypes(t)
	for _, key := range v.Keys() {
		member, keyPath := v.Members[key], Join(path, key)
		field, ok := fields[key]
		if !ok {
			c.report(keyPath, member, "unknown field")
			continue
		}
		c.checkMember(keyPath, member, field)
	}
}

func (c *checker) checkMap(path string, v *Value, t reflect.Type) {
	if !v.IsObject() {
		c.mismatch(path, v, "an object")
		return
	}
	for _, key := range v.Keys() {
		c.checkMember(Join(path, key), v.Members[key], t.Elem())
	}
}

func (c *checker) checkMember(path string, v *Value, t reflect.Type) {
	if c.nulls && v.IsNull() {
		return
	}
	c.check(path, v, t)
}

func (c *checker) checkList(path string, v *Value, t reflect.Type) {
	if !v.IsList() {
		c.mismatch(path, v, "a list")
		return
	}
	for i, element := range v.Elements {
		c.check(Join(path, strconv.Itoa(i)), element, t.Elem())
	}
}

func (c *checker) checkScalar(path string, v *Value, t reflect.Type) {
	number, isNumber := v.Scalar.(json.Number)
	switch t.Kind() {
	case reflect.String:
		if _, ok := v.Scalar.(string); !ok {
			c.mismatch(path, v, "a string")
		}
	case reflect.Bool:
		if _, ok := v.Scalar.(bool); !ok {
			c.mismatch(path, v, "true or false")
		}
	case reflect.Int, reflect.Int32, reflect.Int64:
		_, err := strconv.ParseInt(number.String(), 10, t.Bits())
		if !isNumber || err != nil {
			c.mismatch(path, v, "an integer")
		}
	case reflect.Uint32, reflect.Uint64:
		_, err := strconv.ParseUint(number.String(), 10, t.Bits())
		if !isNumber || err != nil {
			c.mismatch(path, v, "an integer that is not negative")
		}
	case reflect.Float64:
		_, err := number.Float64()
		if !isNumber || err != nil {
			c.mismatch(path, v, "a number")
		}
	default:
		c.report(path, v, "type "+t.String()+" cannot be checked")
	}
}

func (c *checker) mismatch(path string, v *Value, want string) {
	c.report(path, v, fmt.Sprintf("want %s, got %s", want, v.describe()))
}

// maxMistakes bounds the mistakes that Check and Parse report. A document of nothing but
// mistakes would otherwise have a report of many times its size.
const maxMistakes = 1000

func (c *checker) report(path string, v *Value, reason string) {
	if len(c.problems) >= maxMistakes {
		return
	}
	c.problems = append(c.problems, Problem{File: v.File, Line: v.Line, Path: path, Reason: reason})
}

func (v *Value) describe() string {
	switch scalar := v.Scalar.(type) {
	case string:
		return "the string " + strconv.Quote(scalar)
	case json.Number:
		return "the number " + scalar.String()
	case bool:
		return strconv.FormatBool(scalar)
	}
	switch v.kind {
	case kindObject:
		return "an object"
	case kindList:
		return "a list"
	default:
		return "null"
	}
}

// fieldTypes returns the JSON names of the fields of a struct type.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		fields[name] = f.Type
	}
	return fields
}
