package api

import (
	"errors"
	"fmt"
	"strings"
)

// Error is a numbered refusal.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Faults lists every fault found where the refused thing is a document
	// or a settings file.
	Faults []Fault `json:"faults,omitempty"`
	// Err is the cause; it stays in the process that made the error.
	Err error `json:"-"`
}

// Errorf makes a numbered error. A %w operand becomes its cause.
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

// CodeOf finds the number of err. An error without one gives def.
func CodeOf(err error, def Code) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return def
}

// Fault is one thing wrong in a document or settings file.
type Fault struct {
	Code Code `json:"code"`
	// Path names the place within the document (routes[2].service) or the
	// key of a settings file (section.key).
	Path string `json:"path,omitempty"`
	// Line is the line in the file, from 1; 0 where it is not known.
	Line int `json:"line,omitempty"`
	// Message says what is wrong, in lower case, without the place.
	Message string `json:"message"`
}

// String gives place, number and message in one line.
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
