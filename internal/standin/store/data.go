package store

import (
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxValueBytes is the largest value that the service takes.
const maxValueBytes = 1_000_000

// maxHistory is how many changes a late watch can still see.
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
	mu        sync.Mutex
	revision  Int
	nextLease Int
	keys      map[string]keyValue
	leases    map[Int]lease
	history   []event
	compacted Int // changes up to here can't be watched
	kept      *snapshot
	watchers  map[*watcher]struct{}
	skip      int // changes still to be dropped from watches
	calls     map[string]KeyCounts
}

func newData() *data {
	return &data{
		revision: firstRevision, keys: map[string]keyValue{}, leases: map[Int]lease{},
		watchers: map[*watcher]struct{}{}, nextLease: 1, calls: map[string]KeyCounts{},
	}
}

func (d *data) get(key []byte) rangeResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count(key, 1, 0)
	return d.read(key)
}

// count notes calls on a key. The caller holds mu.
func (d *data) count(key []byte, reads, writes int64) {
	part := firstPart(string(key))
	counts := d.calls[part]
	counts.Reads += reads
	counts.Writes += writes
	d.calls[part] = counts
}

// firstPart returns a key up to its second slash, at most.
func firstPart(key string) string {
	head, tail, found := strings.Cut(strings.TrimPrefix(key, "/"), "/")
	if !found {
		return head
	}
	next, _, _ := strings.Cut(tail, "/")
	return head + "/" + strings.TrimRight(next, "0123456789")
}

// read returns one key. The caller holds mu.
func (d *data) read(key []byte) rangeResponse {
	d.expire(time.Now())
	resp := rangeResponse{Header: header{d.revision}}
	if kv, ok := d.keys[string(key)]; ok {
		resp.Kvs = []keyValue{kv}
		resp.Count = 1
	}
	return resp
}

// txn runs a transaction with one comparison of one key.
func (d *data) txn(req *txnRequest) (*txnResponse, error) {
	if len(req.Compare) > 1 || len(req.Success) > 1 || len(req.Failure) > 1 {
		return nil, errBadRequest
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(time.Now())
	resp := &txnResponse{Succeeded: true}
	for _, c := range req.Compare {
		d.count(c.Key, 0, 1)
		holds, err := d.holds(c)
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

// holds evaluates a comparison for equality. The caller holds mu.
func (d *data) holds(c compare) (bool, error) {
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
	d.record(event{Kv: kv})
	return nil
}

// remove deletes one key. The caller holds mu.
func (d *data) remove(key string) Int {
	if _, ok := d.keys[key]; !ok {
		return 0
	}
	d.revision++
	delete(d.keys, key)
	d.record(event{Type: eventDelete, Kv: keyValue{Key: []byte(key), ModRevision: d.revision}})
	return 1
}

// record keeps a change for watches and wakes them. The caller holds mu.
func (d *data) record(e event) {
	if d.skip > 0 {
		d.skip--
		return
	}
	d.history = append(d.history, e)
	if len(d.history) > maxHistory {
		d.compacted = d.history[0].Kv.ModRevision
		d.history = d.history[1:]
	}
	d.wake()
}

// wake tells every watch to look again. The caller holds mu.
func (d *data) wake() {
	for w := range d.watchers {
		w.poke()
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

// keepAlive renews a lease. A lease that is gone has no TTL in the answer.
func (d *data) keepAlive(id Int) leaseResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.expire(now)
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
	d.expire(time.Now())
	if _, ok := d.leases[id]; !ok {
		return leaseResponse{}, errLeaseNotFound
	}
	d.end(id)
	return leaseResponse{Header: header{d.revision}}, nil
}

// end ends a lease and deletes its keys. The caller holds mu.
func (d *data) end(id Int) {
	delete(d.leases, id)
	for key, kv := range d.keys {
		if kv.Lease == id {
			d.remove(key)
		}
	}
}

// expire ends the leases whose time is over. The caller holds mu.
func (d *data) expire(now time.Time) {
	for id, l := range d.leases {
		if now.After(l.expires) {
			d.end(id)
		}
	}
}

// lapse ends every lease at once.
func (d *data) lapse() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.leases {
		d.end(id)
	}
}

// keep stores a copy of the content.
func (d *data) keep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kept = &snapshot{revision: d.revision, keys: maps.Clone(d.keys), leases: maps.Clone(d.leases)}
}

// restore goes back to the kept copy, its revision included, and breaks the
// watches, as a service does whose members start from a backup.
func (d *data) restore() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.kept == nil {
		return
	}
	d.revision = d.kept.revision
	d.keys = maps.Clone(d.kept.keys)
	d.leases = maps.Clone(d.kept.leases)
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
