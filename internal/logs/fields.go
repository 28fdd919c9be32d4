package logs

// Field names of log lines. docs/OPERATIONS.md lists each of them.
const (
	// FieldRequest is the ID that the caller gave the request.
	FieldRequest = "request"
	// FieldRoute, FieldService and FieldVersion are the route, service and version
	// that the request was for.
	FieldRoute   = "route"
	FieldService = "service"
	FieldVersion = "version"
	// FieldConfig is the number of the configuration that applied.
	FieldConfig = "config"
	// FieldCode is the result code, FieldRan whether an upstream ran the request,
	// and FieldStatus the HTTP status that the caller received.
	FieldCode   = "code"
	FieldRan    = "ran"
	FieldStatus = "status"
	// FieldAttempts lists the attempts: address of the node, result code and
	// milliseconds.
	FieldAttempts = "attempts"
	// FieldTimeLeft is the time left until the request's deadline when the line was
	// written, and FieldTook the time spent at this node, both in milliseconds.
	FieldTimeLeft = "left_ms"
	FieldTook     = "took_ms"
	// FieldRetryAfter is the retry delay sent to the caller, in milliseconds.
	FieldRetryAfter = "after_ms"
	// FieldInstance is the ID of the upstream's instance, FieldState the state that
	// it reported last, and FieldAge the age of that report in milliseconds.
	FieldInstance = "instance"
	FieldState    = "state"
	FieldAge      = "age_ms"
	// FieldLoad is the gate's load: requests in progress and waiting, slots, and
	// the mean service time in microseconds.
	FieldLoad = "load"
	// FieldMeanRun is the mean run time of the route at the gate, in milliseconds.
	FieldMeanRun = "need_ms"
	// FieldError is the cause of a failure.
	FieldError = "error"
	// FieldStarted, FieldSequence and FieldSlots are from an instance's report: its
	// start time in Unix milliseconds, the report's sequence number and the number
	// of slots.
	FieldStarted  = "born"
	FieldSequence = "sequence"
	FieldSlots    = "slots"
	// FieldFrom is the source of a configuration or of a rollout's phase.
	FieldFrom = "from"
	// FieldTarget is the version that a rollout moves a service to, FieldOrder the
	// store's revision of its order and FieldPhase its phase. FieldDuration is the
	// rollout's planned duration and FieldElapsed the time since its start, both in
	// milliseconds. FieldNewRuns and FieldOldRuns give the numbers of failed and
	// of all runs of the new and the old version that the decision is based on.
	FieldTarget   = "target"
	FieldOrder    = "order"
	FieldDuration = "within_ms"
	FieldElapsed  = "since_ms"
	FieldPhase    = "phase"
	FieldNewRuns  = "new_runs"
	FieldOldRuns  = "old_runs"
	// FieldBytes lists kinds of traffic between data centres with their bytes since
	// the start.
	FieldBytes = "bytes"
	// FieldStoreCalls lists the operations of the store with the number of calls
	// since the start.
	FieldStoreCalls = "store_calls"
	// FieldDataCentre is the name of a data centre.
	FieldDataCentre = "data_centre"
	// FieldMember is a node's address.
	FieldMember = "member"
	// FieldEjectedFor is the time for which a node is ejected, in milliseconds.
	FieldEjectedFor = "aside_ms"
	// FieldRunningAtCrash is the number of requests that were running in an
	// upstream when it crashed.
	FieldRunningAtCrash = "died_with"
	// FieldWarmupRate is the number of requests per second to which a gate limits its
	// cold upstream, and FieldWarmupLeft for how long, in milliseconds.
	FieldWarmupRate = "warmup_rate"
	FieldWarmupLeft = "warmup_left"
	// FieldAccount is the name of a client account, and FieldRefused the number of its
	// requests that were refused while it was limited.
	FieldAccount = "account"
	FieldRefused = "refused"
	// FieldStoreConfig and FieldPeerConfig are the highest numbers of a configuration
	// heard from the store and from peers. FieldDelay is the time from hearing of the
	// last configuration to its being in force, and FieldWaiting the time for which one
	// that was heard of has not been in force, both in milliseconds.
	FieldStoreConfig = "store_config"
	FieldPeerConfig  = "peer_config"
	FieldDelay       = "delay_ms"
	FieldWaiting     = "waiting_ms"
	// FieldStoreAge is the age of the store's last sound reply on the operator's keys in
	// milliseconds, negative if there was none, and FieldStoreFailures the number of
	// failed calls since.
	FieldStoreAge      = "store_age_ms"
	FieldStoreFailures = "store_failures"
	// FieldRevision is the store's revision of a configuration, and FieldRefusals the
	// numbers of configurations that were refused, by source.
	FieldRevision = "revision"
	FieldRefusals = "refused_configs"
	// FieldDropped counts the lines dropped because the queue was full, and
	// FieldWithheld those not written because of the rate limit.
	FieldDropped  = "dropped"
	FieldWithheld = "withheld"
)

// Messages of lines about requests.
const (
	// MessageRequestEnded is logged by the entry with the result for the caller.
	MessageRequestEnded = "request ended"
	// MessageRequestAtGate is logged by the gate with its result.
	MessageRequestAtGate = "request at gate"
)
