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
	FieldTimeLeft = "left_ms"
	FieldTook     = "took_ms"
	// FieldAfter is when the caller was told to return, in milliseconds.
	FieldRetryAfter = "after_ms"
	// FieldInstance names the upstream's instance, FieldState what it said of
	// itself last, and FieldAge how many milliseconds ago that was.
	FieldInstance = "instance"
	FieldState    = "state"
	FieldAge      = "age_ms"
	// FieldLoad is the gate's load: in progress and waiting, slots, and the
	// microseconds that a slot is held.
	FieldLoad = "load"
	// FieldNeed is the usual time of the route's runs at the gate, in
	// milliseconds.
	FieldMeanRun = "need_ms"
	// FieldError is the cause of a failure.
	FieldError = "error"
	// FieldBorn, FieldSequence and FieldSlots are what an instance said of itself:
	// its start in Unix milliseconds, the number of the report, its slots.
	FieldStarted  = "born"
	FieldSequence = "sequence"
	FieldSlots    = "slots"
	// FieldFrom is who brought a configuration or a move's phase.
	FieldFrom = "from"
	// FieldTarget is the version that a move goes to, FieldOrder the store's
	// revision of its order, FieldWithin its time and FieldSince its age in
	// milliseconds, FieldPhase how far it is; FieldNew and FieldOld are the runs
	// of the new and the old version that decided.
	FieldTarget   = "target"
	FieldOrder    = "order"
	FieldDuration = "within_ms"
	FieldElapsed  = "since_ms"
	FieldPhase    = "phase"
	FieldNewRuns  = "new_runs"
	FieldOldRuns  = "old_runs"
	// FieldMember is a node's address.
	FieldMember = "member"
	// FieldAside is for how many milliseconds a node is put aside.
	FieldEjectedFor = "aside_ms"
	// FieldDied counts the requests that ran in an upstream when it died.
	FieldRunningAtCrash = "died_with"
	// FieldDropped and FieldWithheld count lines that were left out.
	FieldDropped  = "dropped"
	FieldWithheld = "withheld"
)

// Messages of lines on requests.
const (
	// MessageAnswered is the entry's line: what the caller got.
	MessageRequestEnded = "request ended"
	// MessageGate is the gate's line: what it did with the request.
	MessageRequestAtGate = "request at gate"
)
