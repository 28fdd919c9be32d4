// Package api holds what daisytided and daisytide share: the numbered result
// codes and the JSON types of the operator listener.
package api

import (
	"fmt"
	"net/http"
)

// Code is the number of a result. It appears in every refusal, in the
// Daisytide-Code header and in docs/CODES.md.
type Code uint16

// Ran says whether the upstream ran the request that a result belongs to.
type Ran string

// The values of Ran. RanNone is for results that do not belong to a call.
const (
	RanYes     Ran = "yes"
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanNone    Ran = "-"
)

// The result codes. 1xxx: documents. 2xxx: settings. 3xxx: operators.
// 4xxx: calls. 5xxx: the platform's store. 6xxx: peers.
const (
	OK Code = 0

	DocumentSyntax        Code = 1001
	DocumentUnknownField  Code = 1002
	DocumentTooLarge      Code = 1003
	DocumentMissingField  Code = 1004
	DocumentBadName       Code = 1005
	DocumentDuplicate     Code = 1006
	DocumentNoService     Code = 1007
	DocumentNoVersion     Code = 1008
	DocumentBadUnit       Code = 1009
	DocumentOutOfRange    Code = 1010
	DocumentBadShare      Code = 1011
	DocumentBadDeadline   Code = 1012
	DocumentSameMatch     Code = 1013
	DocumentServiceInUse  Code = 1014
	DocumentRolloutClash  Code = 1015
	DocumentBadCaller     Code = 1016
	DocumentTooManyFaults Code = 1017
	DocumentWrongType     Code = 1018
	DocumentJump          Code = 1019

	SettingsSyntax     Code = 2001
	SettingsUnknownKey Code = 2002
	SettingsBadValue   Code = 2003
	SettingsMissing    Code = 2004
	SettingsClash      Code = 2005
	SettingsNoFile     Code = 2006

	OperatorToken     Code = 3001
	OperatorConflict  Code = 3002
	OperatorBody      Code = 3003
	OperatorUnknown   Code = 3004
	OperatorNoRollout Code = 3005
	OperatorNotFound  Code = 3006
	OperatorMethod    Code = 3007
	OperatorNoAnswer  Code = 3008
	OperatorHeader    Code = 3009
	OperatorForm      Code = 3010
	// OperatorNoOldVersion refuses to withdraw a rollout when the old version
	// has no upstream left.
	OperatorNoOldVersion Code = 3011
	// OperatorElsewhere refuses documents, orders, announcements and requests
	// for the audit trail on a node that reads configuration and orders from
	// the platform's store.
	OperatorElsewhere Code = 3012

	CallNoRoute        Code = 4001
	CallNoUpstream     Code = 4002
	CallShed           Code = 4003
	CallNoTime         Code = 4004
	CallBodyTooLarge   Code = 4005
	CallHeader         Code = 4006
	CallNotReady       Code = 4007
	CallLeaving        Code = 4008
	CallCut            Code = 4009
	CallNotReached     Code = 4010
	CallTimeout        Code = 4011
	CallOutcomeUnknown Code = 4012
	CallStillRunning   Code = 4013
	CallFenced         Code = 4014
	CallQuarantined    Code = 4015
	CallShortAnswer    Code = 4016
	CallWithdrawn      Code = 4017
	CallBudget         Code = 4018
	CallKeyClash       Code = 4019
	CallCancelled      Code = 4020
	CallBody           Code = 4021
	CallUnknownKey     Code = 4022
	CallQuota          Code = 4023
	CallEvacuated      Code = 4024
	CallKeyNotReady    Code = 4030
	CallAnswerNotKept  Code = 4031

	StoreNotReached Code = 5001
	StoreUnknown    Code = 5002
	StoreRefused    Code = 5003
	StoreLimit      Code = 5004
	StoreCorrupt    Code = 5005

	PeerKey       Code = 6001
	PeerFrame     Code = 6002
	PeerBusy      Code = 6003
	PeerVersion   Code = 6004
	PeerHash      Code = 6005
	PeerNotFound  Code = 6006
	PeerSettings  Code = 6007
	PeerNotKnown  Code = 6008
	PeerForbidden Code = 6009
)

// CodeInfo is one row of the table of result codes.
type CodeInfo struct {
	Code Code   `json:"code"`
	Name string `json:"name"`
	HTTP int    `json:"http"`
	Ran  Ran    `json:"ran"`
	// Retryable says whether the caller may send the same request again without
	// a risk of a second run.
	Retryable bool   `json:"repeat"`
	Meaning   string `json:"meaning"`
}

// Table lists every result code in numeric order.
var Table = []CodeInfo{
	{OK, "ok", http.StatusOK, RanYes, true, "done"},

	{DocumentSyntax, "document-syntax", http.StatusBadRequest, RanNone, true, "the document is not well-formed JSON"},
	{DocumentUnknownField, "document-unknown-field", http.StatusBadRequest, RanNone, true, "the document has a field that daisytide does not know"},
	{DocumentTooLarge, "document-too-large", http.StatusRequestEntityTooLarge, RanNone, true, "the document is over the size limit"},
	{DocumentMissingField, "document-missing-field", http.StatusBadRequest, RanNone, true, "a required field is empty or absent"},
	{DocumentBadName, "document-bad-name", http.StatusBadRequest, RanNone, true, "a name uses characters that are not allowed, or is too long"},
	{DocumentDuplicate, "document-duplicate", http.StatusBadRequest, RanNone, true, "a name is used twice"},
	{DocumentNoService, "document-no-service", http.StatusBadRequest, RanNone, true, "a route or rollout names a service that the document lacks"},
	{DocumentNoVersion, "document-no-version", http.StatusBadRequest, RanNone, true, "a rollout or service names a version that the service lacks"},
	{DocumentBadUnit, "document-bad-unit", http.StatusBadRequest, RanNone, true, "a duration, size or time lacks its unit or has a wrong one"},
	{DocumentOutOfRange, "document-out-of-range", http.StatusBadRequest, RanNone, true, "a number is outside the permitted range"},
	{DocumentBadShare, "document-bad-share", http.StatusBadRequest, RanNone, true, "a share is not above 0 and at most 100, or the steps do not rise to 100"},
	{DocumentBadDeadline, "document-bad-deadline", http.StatusBadRequest, RanNone, true, "a rollout's deadline is not after its start, or leaves too little time for its steps"},
	{DocumentSameMatch, "document-same-match", http.StatusBadRequest, RanNone, true, "two routes match the same requests"},
	{DocumentServiceInUse, "document-service-in-use", http.StatusConflict, RanNone, true, "the document removes a service or version that a running rollout needs"},
	{DocumentRolloutClash, "document-rollout-clash", http.StatusBadRequest, RanNone, true, "a service has more than one rollout, or one that does not start from its current version"},
	{DocumentBadCaller, "document-bad-caller", http.StatusBadRequest, RanNone, true, "a route names an unknown caller class"},
	{DocumentTooManyFaults, "document-too-many-faults", http.StatusBadRequest, RanNone, true, "the list of faults was cut at its limit"},
	{DocumentWrongType, "document-wrong-type", http.StatusBadRequest, RanNone, true, "a field has another JSON type than it must have"},
	{DocumentJump, "document-jump", http.StatusConflict, RanNone, true, "the document sends all calls of a service to another version without a completed rollout"},

	{SettingsSyntax, "settings-syntax", 0, RanNone, true, "a line of the settings file is not INI"},
	{SettingsUnknownKey, "settings-unknown-key", 0, RanNone, true, "the settings file has an unknown section or key"},
	{SettingsBadValue, "settings-bad-value", 0, RanNone, true, "a setting has a wrong unit, type or range"},
	{SettingsMissing, "settings-missing", 0, RanNone, true, "a required setting is absent"},
	{SettingsClash, "settings-clash", 0, RanNone, true, "two settings contradict each other"},
	{SettingsNoFile, "settings-no-file", 0, RanNone, true, "a file named by the settings cannot be read"},

	{OperatorToken, "operator-token", http.StatusUnauthorized, RanNone, true, "the operator token is missing or wrong"},
	{OperatorConflict, "operator-conflict", http.StatusConflict, RanNone, true, "another operator's document was accepted first"},
	{OperatorBody, "operator-body", http.StatusBadRequest, RanNone, true, "the request to the operator listener is malformed or too large"},
	{OperatorUnknown, "operator-unknown", http.StatusServiceUnavailable, RanNone, true, "it is not known whether the document was accepted"},
	{OperatorNoRollout, "operator-no-rollout", http.StatusNotFound, RanNone, true, "no running rollout has that service"},
	{OperatorNotFound, "operator-not-found", http.StatusNotFound, RanNone, true, "the operator listener has no such page"},
	{OperatorMethod, "operator-method", http.StatusMethodNotAllowed, RanNone, true, "the operator listener does not take that method there"},
	{OperatorNoAnswer, "operator-no-answer", 0, RanNone, true, "the node's operator listener did not answer; nothing was changed"},
	{OperatorHeader, "operator-header", http.StatusBadRequest, RanNone, true, "a header of the request to the operator listener is malformed or too long"},
	{OperatorForm, "operator-form", http.StatusForbidden, RanNone, true, "a form of the console was sent without its token, or the login has expired"},

	{OperatorNoOldVersion, "operator-no-old-version", http.StatusConflict, RanNone, true, "the rollout cannot be taken back, since no upstream of the old version is left"},
	{OperatorElsewhere, "operator-elsewhere", http.StatusConflict, RanNone, true, "the operator keeps configuration and orders in the platform's store; this node takes none"},

	{CallNoRoute, "call-no-route", http.StatusNotFound, RanNo, true, "no route matches the request"},
	{CallNoUpstream, "call-no-upstream", http.StatusServiceUnavailable, RanNo, true, "no upstream of the service can take the request"},
	{CallShed, "call-shed", http.StatusServiceUnavailable, RanNo, true, "the gate is at its limit"},
	{CallNoTime, "call-no-time", http.StatusGatewayTimeout, RanNo, true, "the time left is too short to run the request"},
	{CallBodyTooLarge, "call-body-too-large", http.StatusRequestEntityTooLarge, RanNo, false, "the body is over the route's limit"},
	{CallHeader, "call-header", http.StatusBadRequest, RanNo, false, "a daisytide header of the request is malformed or too long"},
	{CallNotReady, "call-not-ready", http.StatusServiceUnavailable, RanNo, true, "the node has no configuration yet"},
	{CallLeaving, "call-leaving", http.StatusServiceUnavailable, RanNo, true, "the node or its upstream is stopping"},
	{CallCut, "call-cut", http.StatusBadGateway, RanUnknown, false, "the connection broke after the request was sent"},
	{CallNotReached, "call-not-reached", http.StatusBadGateway, RanNo, true, "the upstream could not be reached; nothing was sent"},
	{CallTimeout, "call-timeout", http.StatusGatewayTimeout, RanUnknown, false, "the time limit passed while the request ran"},
	{CallOutcomeUnknown, "call-outcome-unknown", http.StatusConflict, RanUnknown, false, "it is not known whether an earlier attempt with this key ran; nothing was run now"},
	{CallStillRunning, "call-still-running", http.StatusConflict, RanYes, true, "an earlier attempt with this key is running"},
	{CallFenced, "call-fenced", http.StatusConflict, RanNo, true, "a later attempt with this key has fenced this one off"},
	{CallQuarantined, "call-quarantined", http.StatusUnprocessableEntity, RanNo, false, "requests like this one crashed their upstreams and are refused for a time"},
	{CallShortAnswer, "call-short-answer", http.StatusBadGateway, RanYes, false, "the upstream's answer ended early"},
	{CallWithdrawn, "call-withdrawn", http.StatusServiceUnavailable, RanNo, true, "the version picked for the call was withdrawn"},
	{CallBudget, "call-budget", http.StatusServiceUnavailable, RanNo, true, "the service's retry budget is spent"},
	{CallKeyClash, "call-key-clash", http.StatusUnprocessableEntity, RanNo, false, "the key was used before for a different request"},
	{CallCancelled, "call-cancelled", 499, RanUnknown, false, "the caller went away"},
	{CallBody, "call-body", http.StatusBadRequest, RanUnknown, false, "the caller's body ended early"},
	{CallUnknownKey, "call-unknown-key", http.StatusUnauthorized, RanNo, false, "the request has no key of a client account, or one that is not in force"},
	{CallQuota, "call-quota", http.StatusTooManyRequests, RanNo, true, "the client account is over its quota"},
	{CallEvacuated, "call-evacuated", http.StatusServiceUnavailable, RanNo, true, "the upstream's data centre is evacuated"},
	{CallKeyNotReady, "call-key-not-ready", http.StatusServiceUnavailable, RanNo, true, "the gate is not ready for calls with an idempotency key yet"},
	{CallAnswerNotKept, "call-answer-not-kept", http.StatusConflict, RanYes, false, "an earlier attempt with this key ran; its answer was not kept"},

	{StoreNotReached, "store-not-reached", http.StatusServiceUnavailable, RanNone, true, "the platform's store did not answer; nothing took effect"},
	{StoreUnknown, "store-unknown", http.StatusServiceUnavailable, RanNone, true, "the platform's store may or may not have taken the write"},
	{StoreRefused, "store-refused", http.StatusConflict, RanNone, true, "the platform's store refused the write"},
	{StoreLimit, "store-limit", http.StatusTooManyRequests, RanNone, true, "the node's or the store's rate limit was reached"},
	{StoreCorrupt, "store-corrupt", http.StatusBadGateway, RanNone, false, "a value in the platform's store cannot be decoded"},

	{PeerKey, "peer-key", http.StatusUnauthorized, RanNone, false, "the peer key is missing or wrong"},
	{PeerFrame, "peer-frame", http.StatusBadRequest, RanNone, false, "a peer message is malformed or too large"},
	{PeerBusy, "peer-busy", http.StatusServiceUnavailable, RanNone, true, "the node takes no more links now; try another"},
	{PeerVersion, "peer-version", http.StatusBadRequest, RanNone, false, "the peer speaks another protocol version"},
	{PeerHash, "peer-hash", http.StatusBadGateway, RanNone, true, "a configuration body does not match its hash"},
	{PeerNotFound, "peer-not-found", http.StatusNotFound, RanNone, false, "the peer listener has no such path"},
	{PeerSettings, "peer-settings", http.StatusConflict, RanNone, false, "the peer's settings contradict ours"},
	{PeerNotKnown, "peer-not-known", http.StatusNotFound, RanNone, true, "the peer does not have what the request asked for"},
	{PeerForbidden, "peer-forbidden", http.StatusForbidden, RanNone, false, "the peer is not permitted to make this request"},
}

var byCode = indexTable()

func indexTable() map[Code]CodeInfo {
	m := make(map[Code]CodeInfo, len(Table))
	for _, info := range Table {
		m[info.Code] = info
	}
	return m
}

// Info returns the table row of c. A code that is not in the table gets a row
// named "unlisted" with status 500.
func Info(c Code) CodeInfo {
	info, ok := byCode[c]
	if !ok {
		return CodeInfo{Code: c, Name: "unlisted", HTTP: http.StatusInternalServerError, Ran: RanUnknown}
	}
	return info
}

// String returns number and name, for instance "4003 call-shed".
func (c Code) String() string {
	return fmt.Sprintf("%d %s", uint16(c), Info(c).Name)
}
