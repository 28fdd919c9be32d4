package api

import (
	"errors"
	"fmt"
	"strings"
)

// Error is an error with a result code.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Faults lists every fault found in a refused document or settings file.
	Faults []Fault `json:"faults,omitempty"`
	// Err is the cause; it is not sent to other processes.
	Err error `json:"-"`
}

// Errorf returns an error with code c. A %w operand becomes its cause.
func Errorf(c Code, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{Code: c, Message: wrapped.Error(), Err: errors.Unwrap(wrapped)}
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// CodeOf returns the result code of err, or def if it has none.
func CodeOf(err error, def Code) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return def
}

// Fault is one error in a document or settings file.
type Fault struct {
	Code Code `json:"code"`
	// Path is the field of the document (routes[2].service) or the key of the
	// settings file (section.key).
	Path string `json:"path,omitempty"`
	// Line is the line in the file, counted from 1; 0 if it is not known.
	Line int `json:"line,omitempty"`
	// Message says what is wrong, in lower case, without path and line.
	Message string `json:"message"`
}

// String returns line, path, code and message in one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Path != "" {
		fmt.Fprintf(&b, "%s: ", f.Path)
	}
	fmt.Fprintf(&b, "%s: %s", f.Code, f.Message)
	return b.String()
}
