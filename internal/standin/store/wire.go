package store

import (
	"strconv"
	"strings"
)

// Int is a 64-bit integer, which the JSON form of the API encodes as a string.
type Int int64

// MarshalJSON encodes the number as a string.
func (i Int) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON decodes a number with or without quotes.
func (i *Int) UnmarshalJSON(data []byte) error {
	value, err := strconv.ParseInt(strings.Trim(string(data), `"`), 10, 64)
	*i = Int(value)
	return err
}

// header is contained in every response.
type header struct {
	Revision Int `json:"revision"`
}

// keyValue is one key with its value and revisions.
type keyValue struct {
	Key            []byte `json:"key"`
	CreateRevision Int    `json:"create_revision,omitempty"`
	ModRevision    Int    `json:"mod_revision,omitempty"`
	Version        Int    `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int    `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs,omitempty"`
	Count  Int        `json:"count,omitempty"`
}

type compare struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	ModRevision    Int    `json:"mod_revision"`
	CreateRevision Int    `json:"create_revision"`
	Version        Int    `json:"version"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease Int    `json:"lease"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type requestOp struct {
	Put    *putRequest    `json:"request_put"`
	Delete *deleteRequest `json:"request_delete_range"`
	Range  *rangeRequest  `json:"request_range"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type putResponse struct {
	Header header `json:"header"`
}

type deleteResponse struct {
	Header  header `json:"header"`
	Deleted Int    `json:"deleted,omitempty"`
}

type responseOp struct {
	Put    *putResponse    `json:"response_put,omitempty"`
	Delete *deleteResponse `json:"response_delete_range,omitempty"`
	Range  *rangeResponse  `json:"response_range,omitempty"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []responseOp `json:"responses,omitempty"`
}

type leaseRequest struct {
	ID  Int `json:"ID"`
	TTL Int `json:"TTL"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     Int    `json:"ID,omitempty"`
	TTL    Int    `json:"TTL,omitempty"`
}

// streamResult wraps each response of a streaming call.
type streamResult[T any] struct {
	Result T `json:"result"`
}

type watchRequest struct {
	Create *watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	StartRevision Int    `json:"start_revision"`
}

type watchResponse struct {
	Header          header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int     `json:"compact_revision,omitempty"`
	Events          []event `json:"events,omitempty"`
}

// event is one change of a key; Type is empty for a put.
type event struct {
	Type string   `json:"type,omitempty"`
	Kv   keyValue `json:"kv"`
}

const eventDelete = "DELETE"

// statusError is an error in the format of etcd's JSON gateway.
type statusError struct {
	Message string `json:"error"`
	Code    int    `json:"code"`
	status  int
}

func (e *statusError) Error() string { return e.Message }

// gRPC codes in the errors of the gateway.
const (
	codeInvalidArgument = 3
	codeNotFound        = 5
	codeUnavailable     = 14
)
