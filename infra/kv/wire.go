package kv

// The messages of the etcd v3 JSON gateway that the client uses. Keys and values
// are encoded in base64, and 64-bit numbers as strings.

type header struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
	Value       []byte `json:"value"`
}

type rangeRequest struct {
	Key []byte `json:"key"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type requestOp struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
}

type txnResponse struct {
	Header    *header `json:"header"`
	Succeeded bool    `json:"succeeded"`
}

type leaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

type leaseRequest struct {
	ID int64 `json:"ID,string"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type keepAliveResponse struct {
	Result *leaseResponse `json:"result"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchMessage struct {
	Result *watchResponse `json:"result"`
	Error  *gatewayError  `json:"error"`
}

type watchResponse struct {
	Created  bool         `json:"created"`
	Canceled bool         `json:"canceled"`
	Events   []watchEvent `json:"events"`
}

type watchEvent struct {
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

const eventDelete = "DELETE"

// gatewayError is the body of a response whose status is not 200, or the error
// that ends a watch.
type gatewayError struct {
	Message string `json:"message"`
	Text    string `json:"error"`
	Code    int    `json:"code"`
}

// message returns the error message, which different releases of the service put
// in different fields.
func (e gatewayError) message() string {
	if e.Message != "" {
		return e.Message
	}
	return e.Text
}
