package logs

// The fields of lines, as docs/OPERATIONS.md lists them.
const (
	// FieldRequest is the id that the caller gave the request.
	FieldRequest = "request"
	// FieldRoute, FieldService and FieldVersion say what the request was for.
	FieldRoute   = "route"
	FieldService = "service"
	FieldVersion = "version"
	// FieldConfig is the number of the configuration that decided.
	FieldConfig = "config"
	// FieldCode is the result code, FieldRan whether an upstream ran the
	// request, FieldStatus the status that the caller got.
	FieldCode   = "code"
	FieldRan    = "ran"
	FieldStatus = "status"
	// FieldAttempts lists the nodes tried: address, code and milliseconds.
	FieldAttempts = "attempts"
	// FieldLeft is what was left of the request's time, in milliseconds, when
	// the line was written; FieldTook what it had taken at this node.
	FieldLeft = "left_ms"
	FieldTook = "took_ms"
	// FieldAfter is when the caller was told to return, in milliseconds.
	FieldAfter = "after_ms"
	// FieldInstance names the upstream's instance, FieldState what it said of
	// itself last, and FieldAge how many milliseconds ago that was.
	FieldInstance = "instance"
	FieldState    = "state"
	FieldAge      = "age_ms"
	// FieldLoad is the gate's load: in progress and waiting, slots, and the
	// microseconds that a slot is held.
	FieldLoad = "load"
	// FieldError is the cause of a failure.
	FieldError = "error"
	// FieldDropped and FieldWithheld count lines that were left out.
	FieldDropped  = "dropped"
	FieldWithheld = "withheld"
)

// Messages of lines on requests.
const (
	// MessageAnswered is the entry's line: what the caller got.
	MessageAnswered = "request ended"
	// MessageGate is the gate's line: what it did with the request.
	MessageGate = "request at gate"
)
