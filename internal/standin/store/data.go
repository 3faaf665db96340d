package store

import (
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxValueBytes is the size of the largest value that the store accepts.
const maxValueBytes = 1_000_000

// maxHistory is how many past changes are kept for watches that start at an
// earlier revision.
const maxHistory = 1000

// firstRevision is the revision of an empty store.
const firstRevision = 1

var (
	errLeaseNotFound = &statusError{Message: "etcdserver: requested lease not found", Code: codeNotFound, status: http.StatusNotFound}
	errTooLarge      = &statusError{Message: "etcdserver: request is too large", Code: codeInvalidArgument, status: http.StatusBadRequest}
	errBadRequest    = &statusError{Message: "stand-in: not part of the subset", Code: codeInvalidArgument, status: http.StatusBadRequest}
	errNoLeader      = &statusError{Message: "etcdserver: no leader", Code: codeUnavailable, status: http.StatusServiceUnavailable}
)

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type snapshot struct {
	revision Int
	keys     map[string]keyValue
	leases   map[Int]lease
}

// data is the content of the store. It is safe for concurrent use.
type data struct {
	mu            sync.Mutex
	revision      Int
	nextLease     Int
	keys          map[string]keyValue
	leases        map[Int]lease
	history       []event
	compacted     Int // watches can't start at this revision or before
	savedSnapshot *snapshot
	watchers      map[*watcher]struct{}
	changesToDrop int // how many of the next changes to hide from watches
	callCounts    map[string]KeyCounts
}

func newData() *data {
	return &data{
		revision: firstRevision, keys: map[string]keyValue{}, leases: map[Int]lease{},
		watchers: map[*watcher]struct{}{}, nextLease: 1, callCounts: map[string]KeyCounts{},
	}
}

func (d *data) get(key []byte) rangeResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countCalls(key, 1, 0)
	return d.read(key)
}

// countCalls counts calls by the group of their key. The caller holds mu.
func (d *data) countCalls(key []byte, reads, writes int64) {
	group := keyGroup(string(key))
	counts := d.callCounts[group]
	counts.Reads += reads
	counts.Writes += writes
	d.callCounts[group] = counts
}

// keyGroup returns the first segment of a key and, if there is more, the second
// one without digits at its end, so that keys which differ only in a number are
// counted together.
func keyGroup(key string) string {
	first, tail, found := strings.Cut(strings.TrimPrefix(key, "/"), "/")
	if !found {
		return first
	}
	second, _, _ := strings.Cut(tail, "/")
	return first + "/" + strings.TrimRight(second, "0123456789")
}

// read returns one key. The caller holds mu.
func (d *data) read(key []byte) rangeResponse {
	d.expireLeases(time.Now())
	resp := rangeResponse{Header: header{d.revision}}
	if kv, ok := d.keys[string(key)]; ok {
		resp.Kvs = []keyValue{kv}
		resp.Count = 1
	}
	return resp
}

// txn runs a transaction with at most one comparison and at most one operation
// in each branch.
func (d *data) txn(req *txnRequest) (*txnResponse, error) {
	if len(req.Compare) > 1 || len(req.Success) > 1 || len(req.Failure) > 1 {
		return nil, errBadRequest
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireLeases(time.Now())
	resp := &txnResponse{Succeeded: true}
	for _, c := range req.Compare {
		d.countCalls(c.Key, 0, 1)
		holds, err := d.evaluate(c)
		if err != nil {
			return nil, err
		}
		resp.Succeeded = holds
	}
	ops := req.Success
	if !resp.Succeeded {
		ops = req.Failure
	}
	for _, op := range ops {
		result, err := d.apply(op)
		if err != nil {
			return nil, err
		}
		resp.Responses = append(resp.Responses, result)
	}
	resp.Header.Revision = d.revision
	return resp, nil
}

// evaluate returns whether a comparison for equality holds. The caller holds
// mu.
func (d *data) evaluate(c compare) (bool, error) {
	if c.Result != "" && c.Result != "EQUAL" {
		return false, errBadRequest
	}
	kv := d.keys[string(c.Key)]
	switch c.Target {
	case "MOD":
		return kv.ModRevision == c.ModRevision, nil
	case "CREATE":
		return kv.CreateRevision == c.CreateRevision, nil
	case "VERSION", "":
		return kv.Version == c.Version, nil
	}
	return false, errBadRequest
}

// apply runs one operation. The caller holds mu.
func (d *data) apply(op requestOp) (responseOp, error) {
	switch {
	case op.Put != nil:
		if err := d.put(op.Put); err != nil {
			return responseOp{}, err
		}
		return responseOp{Put: &putResponse{header{d.revision}}}, nil
	case op.Delete != nil:
		deleted := d.remove(string(op.Delete.Key))
		return responseOp{Delete: &deleteResponse{header{d.revision}, deleted}}, nil
	case op.Range != nil:
		found := d.read(op.Range.Key)
		return responseOp{Range: &found}, nil
	}
	return responseOp{}, errBadRequest
}

// put writes one key. The caller holds mu.
func (d *data) put(req *putRequest) error {
	if len(req.Value) > maxValueBytes {
		return errTooLarge
	}
	if _, ok := d.leases[req.Lease]; req.Lease != 0 && !ok {
		return errLeaseNotFound
	}
	d.revision++
	kv, ok := d.keys[string(req.Key)]
	if !ok {
		kv = keyValue{Key: req.Key, CreateRevision: d.revision}
	}
	kv.ModRevision = d.revision
	kv.Version++
	kv.Value = req.Value
	kv.Lease = req.Lease
	d.keys[string(req.Key)] = kv
	d.recordEvent(event{Kv: kv})
	return nil
}

// remove deletes one key. The caller holds mu.
func (d *data) remove(key string) Int {
	if _, ok := d.keys[key]; !ok {
		return 0
	}
	d.revision++
	delete(d.keys, key)
	d.recordEvent(event{Type: eventDelete, Kv: keyValue{Key: []byte(key), ModRevision: d.revision}})
	return 1
}

// recordEvent adds a change to the history and notifies the watches, unless the
// change is to be hidden from them. The caller holds mu.
func (d *data) recordEvent(e event) {
	if d.changesToDrop > 0 {
		d.changesToDrop--
		return
	}
	d.history = append(d.history, e)
	if len(d.history) > maxHistory {
		d.compacted = d.history[0].Kv.ModRevision
		d.history = d.history[1:]
	}
	d.notifyWatchers()
}

// notifyWatchers makes every watch check for pending events. The caller holds
// mu.
func (d *data) notifyWatchers() {
	for w := range d.watchers {
		w.notify()
	}
}

func (d *data) grant(req leaseRequest) leaseResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := req.ID
	if id == 0 {
		d.nextLease++
		id = d.nextLease
	}
	ttl := time.Duration(req.TTL) * time.Second
	d.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return leaseResponse{Header: header{d.revision}, ID: id, TTL: req.TTL}
}

// keepAlive renews a lease. If the lease does not exist, the response has no
// TTL.
func (d *data) keepAlive(id Int) leaseResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.expireLeases(now)
	resp := leaseResponse{Header: header{d.revision}, ID: id}
	if l, ok := d.leases[id]; ok {
		l.expires = now.Add(l.ttl)
		d.leases[id] = l
		resp.TTL = Int(l.ttl / time.Second)
	}
	return resp
}

func (d *data) revoke(id Int) (leaseResponse, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireLeases(time.Now())
	if _, ok := d.leases[id]; !ok {
		return leaseResponse{}, errLeaseNotFound
	}
	d.endLease(id)
	return leaseResponse{Header: header{d.revision}}, nil
}

// endLease ends a lease and deletes its keys. The caller holds mu.
func (d *data) endLease(id Int) {
	delete(d.leases, id)
	for key, kv := range d.keys {
		if kv.Lease == id {
			d.remove(key)
		}
	}
}

// expireLeases ends the leases whose TTL has passed. The caller holds mu.
func (d *data) expireLeases(now time.Time) {
	for id, l := range d.leases {
		if now.After(l.expires) {
			d.endLease(id)
		}
	}
}

// endAllLeases ends every lease.
func (d *data) endAllLeases() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.leases {
		d.endLease(id)
	}
}

// takeSnapshot saves a copy of the content for restore.
func (d *data) takeSnapshot() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.savedSnapshot = &snapshot{revision: d.revision, keys: maps.Clone(d.keys), leases: maps.Clone(d.leases)}
}

// restore resets the content and the revision to the saved copy and ends the
// watches, as when the members of the platform's store are started from a
// backup.
func (d *data) restore() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.savedSnapshot == nil {
		return
	}
	d.revision = d.savedSnapshot.revision
	d.keys = maps.Clone(d.savedSnapshot.keys)
	d.leases = maps.Clone(d.savedSnapshot.leases)
	d.history = nil
	d.compacted = d.revision
	d.breakWatches()
}

// breakWatches ends every watch. The caller holds mu.
func (d *data) breakWatches() {
	for w := range d.watchers {
		w.stop()
	}
	clear(d.watchers)
}
