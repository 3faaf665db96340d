/*
 * Claims on non-idempotent requests: one key in one shard's log.
 *
 * Owners take the shard over from each other, and may crash and lose their
 * state at any point. Hosts send the same key through both owners, lose
 * responses, give up and crash. The ring has as many slots as a run needs, so
 * it never wraps and the compare-and-swap of a slot is a create-if-absent. Each
 * fault uses up one of FAULTS, so that faults eventually stop. Pauses are not
 * counted, because any process may pause for any time.
 *
 * Safety: the request runs at most once, and if an attempt reports that nothing
 * ran, that is true and stays true.
 * Progress: every attempt of a live host ends once faults have stopped: no
 * process blocks forever (an invalid end state) and none loops forever (a
 * non-progress cycle).
 *
 * checks: safety progress
 * deep: -DFAULTS=3
 * mutants: NO_FENCE NO_READBACK DISPATCH_FIRST TRUST_LEASE DECIDE_IN_OUTAGE NO_FOLD STRANGER_SPEAKS DISOWN_UNREACHABLE RUN_AFTER_GIVE_UP SKIP_SETTLE SETTLE_UNFENCED
 */

#ifndef FAULTS
#define FAULTS 2
#endif
#define SLOTS 12
#define NOBODY 3
#define FREE 0
#define CLAIMED 1
#define ENDED 2

mtype = { TAKE, CLAIM, FINISH, BARRIER };             /* records */
mtype = { ASK, SETTLE };                              /* calls to an owner */
mtype = { GRANTED, RUNNING, OVER, MOVED, LOST, SETTLED }; /* answers */
mtype = { TOLD_NO, TOLD_REPLAY, TOLD_UNKNOWN, TOLD_RAN };

typedef slot { mtype kind; byte who; byte epoch };
slot ring[SLOTS];
slot late[2];                                         /* a write in flight */
byte lateAt[2];
byte epoch = 0;
byte headOwner = NOBODY;
byte faults = FAULTS;
byte runs = 0;

chan call[2] = [2] of { mtype, byte, byte };
chan answer[2] = [1] of { mtype, byte };

bool alive = true;                                    /* the host of attempt 0 */
bool live[2];                                         /* claim.Service.live */
bool finished[2];
mtype told[2];

/* A response is lost if an earlier one is still unread. */
inline reply(aTo, aText, aAbout) {
	if
	:: nfull(answer[aTo]) -> answer[aTo]!aText, aAbout
	:: full(answer[aTo]) -> skip
	fi
}

/* claim.table.apply */
inline apply(aKind, aWho) {
	if
	:: aKind == CLAIM -> state = CLAIMED; holder = aWho
	:: aKind == FINISH && state == CLAIMED && holder == aWho -> state = ENDED
	:: else -> skip
	fi
}

inline put(aRecord, aHolder) {
	ring[next].kind = aRecord;
	ring[next].who = aHolder;
	ring[next].epoch = mine
}

/* claim.table.evaluateClaim and claim.settledEntry: a response, or a record to append. */
inline rule() {
	if
	:: kind == ASK && (state == FREE || (state == CLAIMED && holder == disowned && holder != who)) ->
#ifdef TRUST_LEASE
		reply(who, GRANTED, NOBODY);
#endif
		todo = CLAIM
	:: kind == ASK && state == CLAIMED && holder == who -> reply(who, GRANTED, NOBODY)
	:: kind == ASK && state == CLAIMED && holder != who && holder != disowned -> reply(who, RUNNING, holder)
	:: kind == ASK && state == ENDED -> reply(who, OVER, NOBODY)
	:: kind == SETTLE && state == CLAIMED && holder == who -> todo = FINISH
	:: kind == SETTLE && state == ENDED -> reply(who, SETTLED, NOBODY)
	:: kind == SETTLE && state != ENDED && !(state == CLAIMED && holder == who) ->
		/* This owner's table may be stale: only a successful write proves otherwise. */
#ifdef SETTLE_UNFENCED
		reply(who, SETTLED, NOBODY)
#else
		todo = BARRIER
#endif
	fi
}

/* claim.shard.commit: the record is in the log. */
inline acknowledge() {
	apply(todo, who);
	next++;
	if
	:: todo == CLAIM -> reply(who, GRANTED, NOBODY)
	:: todo == FINISH || todo == BARRIER -> reply(who, SETTLED, NOBODY)
	fi;
	todo = 0
}

/* claim.shard.loseOwnership, or a crash: the owner loses its state. */
inline forget() {
	if
	:: todo != 0 -> reply(who, LOST, NOBODY)
	:: else -> skip
	fi;
	held = false; todo = 0; taking = false; folded = false;
	next = 0; mine = 0; state = FREE; holder = NOBODY
}

/* claim.shardLog.append and resolveConflict. */
inline append() {
#ifdef NO_FENCE
	do
	:: ring[next].kind != 0 -> next++
	:: else -> break
	od;
#endif
	assert(next < SLOTS);
	if
	:: ring[next].kind == 0 ->
		if
		:: put(todo, who); acknowledge()
		:: faults > 0 -> faults--; put(todo, who)     /* the response is lost */
		:: faults > 0 && late[id].kind == 0 -> faults--; /* takes effect later */
			late[id].kind = todo; late[id].who = who; late[id].epoch = mine; lateAt[id] = next
#ifdef NO_READBACK
			; acknowledge()
#endif
		:: faults > 0 -> faults--; forget()           /* crash before the write */
		:: faults > 0 -> faults--; put(todo, who); forget() /* crash after the write */
#ifdef DECIDE_IN_OUTAGE
		:: faults > 0 -> faults--; acknowledge()
#endif
		fi
	:: ring[next].kind == todo && ring[next].who == who && ring[next].epoch == mine -> acknowledge()
	:: else -> forget()
	fi
}

/* claim.shardLog.loadTable and replayNext */
inline fold() {
	do
	:: ring[next].kind != 0 && ring[next].epoch < mine -> apply(ring[next].kind, ring[next].who); next++
	:: ring[next].kind != 0 && ring[next].epoch > mine -> forget(); break
	:: ring[next].kind == 0 -> folded = true; break
	od
}

/* claim.shardLog.writeTakeover */
inline record() {
#ifdef NO_FOLD
	do
	:: ring[next].kind != 0 -> next++
	:: else -> break
	od;
#endif
	if
	:: ring[next].kind == 0 -> put(TAKE, NOBODY); next++; taking = false; held = true
	:: else -> skip
	fi;
	folded = false
}

/* claim.shard: submit, acquire, buildBatch, commit. */
proctype Owner(byte id) {
	byte next = 0, mine = 0, state = FREE, holder = NOBODY, who, disowned;
	mtype kind, todo;
	bool held = false, taking = false, folded = false;
end:
	do
	:: atomic { held && todo == 0 && call[id]?[kind, who, disowned] -> call[id]?kind, who, disowned;
		rule(); kind = 0; disowned = 0 }
	:: atomic { todo != 0 -> append() }
	:: atomic { !held && !taking && nempty(call[id]) -> call[id]?kind, who, disowned;
		if
		:: headOwner == id || headOwner == NOBODY -> taking = true
		:: headOwner == 1 - id -> reply(who, MOVED, headOwner)
		:: headOwner == 1 - id && faults > 0 -> faults--; taking = true /* the probe failed */
		fi;
		if /* claim.shardLog.takeOver: writes the head first */
		:: taking -> epoch++; mine = epoch; headOwner = id; reply(who, LOST, NOBODY)
		:: else -> skip
		fi;
		kind = 0; disowned = 0; who = 0 }
	:: atomic { taking && !folded -> fold() }
	:: atomic { taking && folded -> record() }
	:: atomic { (held || taking) && faults > 0 -> faults--; forget() }
	od
}

/* A write that takes effect after its caller has stopped waiting for it. */
proctype Late(byte id) {
end:
	do
	:: atomic { late[id].kind != 0 ->
#ifdef NO_FENCE
		do
		:: ring[lateAt[id]].kind != 0 -> lateAt[id]++
		:: else -> break
		od;
#endif
		if
		:: ring[lateAt[id]].kind == 0 ->
			ring[lateAt[id]].kind = late[id].kind;
			ring[lateAt[id]].who = late[id].who;
			ring[lateAt[id]].epoch = late[id].epoch
		:: else -> skip
		fi;
		late[id].kind = 0; late[id].who = 0; late[id].epoch = 0; lateAt[id] = 0 }
	od
}

#define up (alive || a == 1)
#define otherUp (alive || a == 0)

inline dispatch() {
	assert(told[a] != TOLD_NO);
	runs++;
	assert(runs <= 1)
}

inline tellNothingRan() {
	assert(!finished[a]);
	live[a] = false;
	told[a] = TOLD_NO
}

/* claim.Service: Begin, decide, join, callOwner; claim.Grant: Finish, Release. */
proctype Attempt(byte a) {
	byte owner = a, other, disowned = NOBODY;
	mtype code;
	live[a] = true;
#ifdef DISPATCH_FIRST
	atomic { dispatch() };
#endif
ask:
	if
	:: !up -> goto dead
	:: atomic { up && nfull(call[owner]) -> call[owner]!ASK, a, disowned }
	fi;
wait:
	if
	:: atomic { answer[a]?code, other ->
		if
		:: code == MOVED -> owner = other; code = 0; goto ask
		:: code == LOST || code == SETTLED -> code = 0; goto ask
		:: code == OVER -> live[a] = false; told[a] = TOLD_REPLAY; goto over
		:: code == RUNNING -> code = 0; goto join
		:: code == GRANTED && !up -> goto dead
		:: code == GRANTED && up -> dispatch(); finished[a] = true; told[a] = TOLD_RAN; code = 0; goto settle
		:: code == GRANTED && up -> tellNothingRan(); goto over /* claim.Grant.Release */
		fi }
	:: atomic { faults > 0 -> faults--; owner = 1 - owner; goto ask } /* the call timed out */
	:: atomic { faults > 0 -> faults--; tellNothingRan() };           /* claim.Service.abandon */
#ifdef RUN_AFTER_GIVE_UP
		goto wait
#else
		goto over
#endif
	:: !up -> goto dead
	fi;
join: /* claim.Service.join and handleJoin */
	if
	:: atomic { !otherUp ->
#ifdef STRANGER_SPEAKS
		disowned = other; goto ask
#else
		live[a] = false; told[a] = TOLD_UNKNOWN; goto over
#endif
		}
#ifdef DISOWN_UNREACHABLE
	:: atomic { faults > 0 -> faults--; disowned = other; goto ask }
#endif
	:: atomic { otherUp && finished[other] -> live[a] = false; told[a] = TOLD_REPLAY; goto over }
	:: atomic { otherUp && !live[other] -> disowned = other; goto ask }
	:: !up -> goto dead
	fi;
settle: /* claim.Service.settle */
#ifdef SKIP_SETTLE
	atomic { live[a] = false; finished[a] = false; goto over };
#endif
	if
	:: !up -> goto dead
	:: atomic { up && nfull(call[owner]) -> call[owner]!SETTLE, a, NOBODY }
	fi;
	if
	:: atomic { answer[a]?code, other ->
		if
		:: code == SETTLED -> code = 0; live[a] = false; finished[a] = false; goto over
		:: code == MOVED -> code = 0; owner = other; goto settle
		:: else -> code = 0; goto settle
		fi }
	:: atomic { faults > 0 -> faults--; owner = 1 - owner; goto settle }
	:: !up -> goto dead
	fi;
over:
	assert(told[a] != 0);
dead:
	skip
}

/* A host crashes; a host that later uses its address is a different process. */
proctype Death() {
	if
	:: atomic { faults > 0 -> faults--; alive = false }
	:: true -> skip
	fi
}

init {
	atomic {
		run Owner(0); run Owner(1); run Late(0); run Late(1);
		run Attempt(0); run Attempt(1); run Death()
	}
}
