/*
 * The operators' document: concurrent editors, a head moved by
 * compare-and-swap, hosts that watch, poll peers and restart, and a store that
 * is restored from an older state.
 *
 * A record is a generation: its number, the previous record and, for each of
 * two sections, the set of operations that it contains. The editors either both
 * change section 0 or change one section each; the model checks both cases.
 * Each fault uses up one of FAULTS: a lost response, a delayed write, a restart
 * of host 1, a store that returns one generation older. Pauses are not counted.
 * The store loses only a generation that host 0 serves, and the hosts'
 * announcements have arrived by the time the store is up again: a generation
 * that no host has fetched can't be restored by any of them.
 *
 * Safety: an accepted change stays in every later generation that a host
 * serves; no host serves an older generation after a newer one; a restarted
 * host is not ready before it serves at least the generation that its peer
 * served when it asked; an operation is accepted only once. Convergence: when
 * nothing more can happen, both editors have their result and every host serves
 * the store's head with both changes (asserted at timeout).
 *
 * Names in Go, package config: Judge is compareHeads; Edit and Try are
 * change.try; Guard is Writer.guard; Move is change.move; Restore is
 * Writer.Restore; Apply is Syncer.follow; Start is Syncer.runStart.
 *
 * checks: safety
 * deep: -DFAULTS=3
 * mutants: FOLLOW_OLDER TRUST_LOST NO_READBACK NO_CLASH_CHECK NO_GUARD BLIND_MOVE READY_AT_ONCE NO_POLL NO_RESTORE FLOOR_FIRST
 */

#ifndef FAULTS
#define FAULTS 2
#endif
#define MAXREC 6
#define NONE 15

typedef record { byte gen; byte prev; byte sec[2] };
record rec[MAXREC];
byte nrec = 1;

byte head = 0;                                /* the store */
byte version = 1;
bool lateSet = false;                         /* a write in flight */
byte lateVersion;
byte lateRec;

byte served[2];                               /* NONE: no generation yet */
bool ready[2];
byte faults = FAULTS;
bool told[2];
byte sectionOf[2];

#define GEN(r) ((r) == NONE -> 0 : rec[r].gen)
#define BIT(e) (1 << (e))
#define HAS(r, e) (rec[r].sec[sectionOf[e]] & BIT(e))
#define FLOOR (GEN(served[0]) > GEN(served[1]) -> GEN(served[0]) : GEN(served[1]))
#ifdef FOLLOW_OLDER
#define SHOWN(r, h) (r != served[h])
#else
#define SHOWN(r, h) (GEN(r) > GEN(served[h]))
#endif

/* descends: whether record dA is record dB or one of its ancestors. */
inline descends(dB, dA, dOut) {
	dAt = dB;
	do
	:: dA == NONE || dAt == dA -> dOut = true; break
	:: else ->
		if
		:: rec[dAt].gen <= rec[dA].gen -> dOut = false; break
		:: else -> dAt = rec[dAt].prev
		fi
	od
}

/* Judge and Apply: a host follows a record only if it descends from the served one. */
inline apply(aHost, aRec) {
	d_step {
		descends(aRec, served[aHost], dOk);
#ifdef FOLLOW_OLDER
		dOk = true;
#endif
		if
		:: dOk && SHOWN(aRec, aHost) ->
			assert(served[aHost] == NONE || rec[aRec].gen > rec[served[aHost]].gen);
			assert(!told[0] || served[aHost] == NONE || !HAS(served[aHost], 0) || HAS(aRec, 0));
			assert(!told[1] || served[aHost] == NONE || !HAS(served[aHost], 1) || HAS(aRec, 1));
			served[aHost] = aRec
		:: else -> skip
		fi;
		dAt = 0; dOk = false
	}
}

/* Makes the record that follows mH; mBase is the record that the editor had read. */
inline make(mMe, mBase, mH) {
	assert(nrec < MAXREC && !HAS(mH, mMe));   /* accepted once */
	rec[nrec].gen = rec[mH].gen + 1;
	rec[nrec].prev = mH;
	rec[nrec].sec[0] = rec[mH].sec[0];
	rec[nrec].sec[1] = rec[mH].sec[1];
	rec[nrec].sec[sectionOf[mMe]] = rec[mBase].sec[sectionOf[mMe]] | BIT(mMe);
	nrec++
}

/* An editor on its host: Edit, then Try until it has a result. */
proctype editor(byte me) {
	byte base, h, v, floor, dAt;
	bool dOk;
	served[me] != NONE;
	base = head;
try:
#ifdef FLOOR_FIRST
	floor = FLOOR;
	atomic { h = head; v = version };
#else
	atomic { h = head; v = version };
	floor = FLOOR;
#endif
	d_step {
		if
#ifndef NO_READBACK
		:: HAS(h, me) -> told[me] = true
#endif
		:: else -> skip
		fi
	};
	if
	:: told[me] -> goto done
	:: else
	fi;
#ifndef NO_GUARD
	d_step { descends(h, served[me], dOk); dAt = 0; dOk = dOk && rec[h].gen >= floor };
	if
	:: !dOk -> version != v; goto try         /* ErrStaleStore, or the head has moved */
	:: else
	fi;
	dOk = false;
#endif
#ifndef NO_CLASH_CHECK
	if
	:: rec[h].sec[sectionOf[me]] != rec[base].sec[sectionOf[me]] -> base = h; goto try
	:: else
	fi;
#endif
	if
#ifdef BLIND_MOVE
	:: atomic { true -> make(me, base, h); head = nrec - 1; version++; told[me] = true }
#else
	:: atomic { version == v -> make(me, base, h); head = nrec - 1; version++; told[me] = true }
#endif
	:: atomic { version != v -> goto try }
	:: atomic { faults > 0 && version == v ->  /* the response is lost */
		faults--; make(me, base, h); head = nrec - 1; version++ };
#ifdef TRUST_LOST
		told[me] = true
#else
		goto try
#endif
	:: atomic { faults > 0 && version == v && !lateSet -> /* the write is delayed */
		faults--; make(me, base, h); lateRec = nrec - 1; lateVersion = v; lateSet = true };
#ifdef TRUST_LOST
		told[me] = true
#else
		goto try
#endif
	fi;
done:
	skip
}

/* The network: a delayed write takes effect if the version is still the expected one. */
proctype network() {
end:
	do
	:: atomic { lateSet ->
		if
		:: version == lateVersion -> head = lateRec; version++
		:: else -> skip
		fi;
		lateSet = false; lateRec = 0; lateVersion = 0 }
	od
}

/* Host 0 watches. What it saw may be stale by the time it applies it. */
proctype watcher() {
	byte seen, dAt;
	bool dOk;
end:
	do
	:: atomic { SHOWN(head, 0) -> seen = head }; apply(0, seen); seen = 0
	:: atomic { served[1] != NONE && SHOWN(served[1], 0) -> seen = served[1] }; apply(0, seen); seen = 0
	od
}

/* Host 1 polls host 0. It may restart; Start then asks host 0 and reads the
 * store before the host is ready. */
proctype poller() {
	byte seen, asked, dAt;
	bool dOk;
end:
	do
#ifndef NO_POLL
	:: atomic { ready[1] && served[0] != NONE && SHOWN(served[0], 1) -> seen = served[0] }; apply(1, seen); seen = 0
#endif
	:: atomic { ready[1] && faults > 0 -> faults--; served[1] = NONE; ready[1] = false; asked = GEN(served[0]) }
	:: !ready[1] ->
		seen = head; apply(1, seen);
#ifndef READY_AT_ONCE
		seen = served[0];
		if
		:: seen != NONE -> apply(1, seen)
		:: else
		fi;
#endif
		seen = 0;
		atomic { ready[1] = true; assert(GEN(served[1]) >= asked); asked = 0 }
	od
}

/* The store returns to an older state; Restore writes back what a host serves. */
proctype operator() {
	byte v;
end:
	do
	:: atomic { faults > 0 && served[0] == head && rec[head].gen > 1 ->
		faults--; head = rec[head].prev; version++ }
#ifndef NO_RESTORE
	:: served[0] != NONE && rec[head].gen < rec[served[0]].gen && rec[served[0]].gen >= FLOOR ->
		v = version;
		atomic {
			if
			:: version == v && rec[head].gen < rec[served[0]].gen -> head = served[0]; version++
			:: else -> skip
			fi;
			v = 0 }
#endif
	od
}

init {
	atomic {
		rec[0].gen = 1;
		rec[0].prev = NONE;
		served[0] = NONE; served[1] = NONE;
		if
		:: sectionOf[1] = 0
		:: sectionOf[1] = 1
		fi;
		run editor(0); run editor(1); run network(); run watcher(); run poller(); run operator()
	};
	timeout ->
		assert(told[0] && told[1]);
		assert(HAS(head, 0) && HAS(head, 1));
		assert(served[0] == head && served[1] == head && ready[1])
}
