/*
 * Orders to an engine: planners that hold a lease, a fencing number that the
 * store makes monotonic, and engines that check the number or ignore it.
 *
 * The model has no clock, only an order of events. It assumes TIMING: the store
 * expires a lease only after its holder has stopped, which the holder does by
 * its own clock less the margin; and a new holder's settling time ends only when
 * no order of an earlier holder is in flight. A holder that is paused between
 * its check and its sending for longer than both breaks TIMING. Such a late
 * order uses up one of FAULTS and may arrive at any later time.
 *
 * Safety: an engine that checks never accepts an order of an earlier holder
 * after one of a later holder, late or not. An engine that ignores fencing
 * numbers doesn't either as long as TIMING holds. No two planners believe that
 * they hold the lease at the same time. The stored plan never goes back to an
 * older one, and no engine receives a plan that isn't stored.
 * Convergence: when nothing more can happen, one planner leads and the engine,
 * of either kind, has what the stored plan says, whatever order was late
 * (asserted at timeout; in Go this takes at most one round: read back, then
 * order).
 *
 * Names in Go, package planner: Acquire is acquire; MayOrder is
 * tenure.mayOrder; Save is Runner.save; Give is Runner.sendOrder; ReadBack is
 * Runner.gather with Commands.
 *
 * checks: safety
 * deep: -DFAULTS=3
 * mutants: NO_FENCE NO_MARGIN NO_SETTLE NO_READBACK NO_VALIDITY NO_PLAN_SWAP PLAN_LATER
 */

#ifndef FAULTS
#define FAULTS 2
#endif
#define NOBODY 2
#define MAXPLAN 3
#define TERMS 3                               /* tenures that the clock may end early */
#define SPARE 3                               /* further tenures, which planners may give up */

byte holder = NOBODY;                         /* the store */
byte fencing = 0;
byte plan = 0;
byte planVersion = 1;

bool checks;                                  /* the engine */
byte engineFencing = 0;
byte enginePlan = 0;

bool valid[2];                                /* by the holder's own clock */
byte flying[2];                               /* orders in flight: plan+1, 0 none */
byte flyingFencing[2];
bool late[2];                                 /* that order breaks TIMING */
byte faults = FAULTS;
byte latest = 0;                              /* newest plan ever stored */

#define ELSE_FLYING(me) (flying[1-me] != 0 && !late[1-me])

/* An order arrives at the engine. */
inline land(lWho) {
	d_step {
		if
#ifdef NO_FENCE
		:: true ->
#else
		:: !checks || flyingFencing[lWho] >= engineFencing ->
#endif
			assert(flyingFencing[lWho] >= engineFencing || (late[lWho] && !checks));
			assert(flying[lWho] - 1 <= latest);
			enginePlan = flying[lWho] - 1;
			if
			:: flyingFencing[lWho] > engineFencing -> engineFencing = flyingFencing[lWho]
			:: else -> skip
			fi
#ifndef NO_FENCE
		:: else -> skip
#endif
		fi;
		flying[lWho] = 0; flyingFencing[lWho] = 0; late[lWho] = false
	}
}

proctype network() {
end:
	do
	:: flying[0] != 0 -> land(0)
	:: flying[1] != 0 -> land(1)
	od
}

proctype planner(byte me) {
	byte mine, at, number;
	bool checked;
end:
	do
	:: atomic { holder == NOBODY && fencing < TERMS + SPARE -> /* Acquire */
		assert(!valid[1-me]);
		holder = me; fencing++; number = fencing; valid[me] = true };
#ifndef NO_SETTLE
endSettle:
		!ELSE_FLYING(me) || !valid[me];
#endif
		atomic { mine = plan; at = planVersion };
endLead:
		do
		:: !valid[me] -> break
		:: valid[me] && mine < MAXPLAN && mine == enginePlan -> /* Save, before any order is sent */
#ifdef PLAN_LATER
			mine++;
			if
			:: atomic { valid[me] && flying[me] == 0 -> flying[me] = mine + 1; flyingFencing[me] = number }
			:: !valid[me] || flying[me] != 0
			fi;
#endif
			atomic {
				if
#ifdef NO_PLAN_SWAP
				:: true ->
#else
				:: planVersion == at ->
#endif
#ifndef PLAN_LATER
					mine++;
#endif
					plan = mine; planVersion++; at = planVersion;
					assert(plan > latest); latest = plan
#ifndef NO_PLAN_SWAP
				:: else -> valid[me] = false
#endif
				fi
			}
#ifdef NO_READBACK
		:: mine > enginePlan && mine == latest && flying[me] == 0 ->
#else
		:: mine != enginePlan && flying[me] == 0 -> /* ReadBack, then MayOrder and Give */
#endif
#ifdef NO_VALIDITY
			flying[me] = mine + 1; flyingFencing[me] = number
#else
			if
			:: atomic { valid[me] -> flying[me] = mine + 1; flyingFencing[me] = number }
			:: atomic { valid[me] && faults > 0 -> faults--; late[me] = true;
				flying[me] = mine + 1; flyingFencing[me] = number }
			:: !valid[me]
			fi
#endif
		od;
		mine = 0; at = 0; number = 0
	od
}

/* Clocks and the store's leases. */
proctype clock() {
end:
	do
	:: atomic { holder != NOBODY && valid[holder] && fencing < TERMS -> /* pauses, outages */
		valid[holder] = false }
	:: atomic { holder != NOBODY && !valid[holder] -> holder = NOBODY }
#ifdef NO_MARGIN
	:: atomic { holder != NOBODY && fencing < TERMS -> holder = NOBODY }
#endif
	od
}

init {
	atomic {
		if
		:: checks = true
		:: checks = false
		fi;
		run planner(0); run planner(1); run network(); run clock()
	};
	timeout ->
		assert(holder != NOBODY && valid[holder]);
		assert(plan == MAXPLAN && enginePlan == plan)
}
